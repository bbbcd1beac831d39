package spawner

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// ticksPerSecond is USER_HZ, which Linux fixes at 100 for programs.
	ticksPerSecond = 100
	// Indexes of fields of /proc/PID/stat, counted after the command name.
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldRSSPages   = 21
)

func parseStat(stat []byte) (u Usage, err error) {
	// The command name may contain spaces, so fields are counted from its closing parenthesis.
	i := bytes.LastIndexByte(stat, ')')
	if i < 0 {
		return Usage{}, fmt.Errorf("no closing parenthesis in %q", stat)
	}
	f := bytes.Fields(stat[i+1:])
	if len(f) <= fieldRSSPages {
		return Usage{}, fmt.Errorf("too few fields after the command name: %d", len(f))
	}
	var n [3]int64
	for k, field := range []int{fieldUserTime, fieldSystemTime, fieldRSSPages} {
		if n[k], err = strconv.ParseInt(string(f[field]), 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(n[0]+n[1]) * time.Second / ticksPerSecond,
		RSSBytes: n[2] * int64(os.Getpagesize()),
	}, nil
}
