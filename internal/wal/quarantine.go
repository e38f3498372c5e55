package wal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"frosthub/recovery"
)

// BeginRead records that reading of a store begins; EndRead records that it ended. If too many
// consecutive processes died in between, BeginRead quarantines the files of the store: it renames
// them, so that the store is empty and an operator can investigate the old contents.
func BeginRead(disk Disk) (quarantined bool, err error) {
	attempts := 0
	text, err := disk.Read(readAttemptsName)
	if err == nil {
		attempts, _ = strconv.Atoi(strings.TrimSpace(string(text))) // an unreadable number counts as no earlier attempts
	}
	if recovery.ShouldQuarantine(attempts) {
		if err := quarantine(disk); err != nil {
			return false, fmt.Errorf("quarantine the store: %w", err)
		}
		quarantined = true
		attempts = 0
	}
	if err := writeAttempts(disk, attempts+1); err != nil {
		return quarantined, fmt.Errorf("write %s: %w", readAttemptsName, err)
	}
	return quarantined, nil
}

// EndRead records that reading has ended, with or without an error.
func EndRead(disk Disk) error {
	if err := disk.Remove(readAttemptsName); err != nil {
		return fmt.Errorf("remove %s: %w", readAttemptsName, err)
	}
	return nil
}

// writeAttempts writes the number of attempts without a sync. The file survives the end of the
// process. A power failure that loses the write costs one more attempt.
func writeAttempts(disk Disk, attempts int) error {
	file, err := disk.OpenAppend(readAttemptsName, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(fmt.Appendln(nil, attempts))
	return errors.Join(err, file.Close())
}

// quarantine renames the log and fingerprint files of a store.
func quarantine(disk Disk) error {
	names, err := disk.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		_, isLog := parseSegmentName(name, logSuffix)
		_, isFingerprints := parseSegmentName(name, fingerprintsSuffix)
		if !isLog && !isFingerprints {
			continue
		}
		if err := disk.Rename(name, name+quarantineSuffix); err != nil {
			return err
		}
	}
	return disk.SyncDir()
}
