# Operators' own settings. Durations are in seconds; ratios are relative to the
# figure named beside them.
exchange {
  phi            = 5.0  # a job whose estimated wait is below this stays home
  delta          = 0.7  # parts below this utilization volunteer
  sigma          = 10.0 # interval between announcements
  epsilon        = 0.1  # relative difference in turnaround that counts as a tie
  answer_limit   = 2.0  # silence of a queried peer past this is ignored
  mode           = "symmetric" # symmetric, volunteers, ask or off
}

queue {
  order    = "aims"    # aims: by priority, then what can still be done in time; urgency: by priority, then arrival; arrival: arrival only
  backfill = true
  guesses  = "learned" # learned: corrected by class history; owner: as given
}

fleet {
  idle_per_boot  = 0.4 # the dearest machine, idle for this multiple of its boot time, is returned; cheaper ones idle longer
  late_per_boot  = 3.0 # a machine not up after this multiple is replaced
  soon_per_boot  = 1.0 # what comes free within this multiple is waited for instead of renting; 0: nothing
}
