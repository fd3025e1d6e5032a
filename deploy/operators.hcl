# Settings that operators may tune. Durations are in seconds; ratios are relative to the quantity named in the comment.
exchange {
  phi            = 5.0  # a job whose estimated wait is shorter stays in its home partition
  delta          = 0.7  # partitions below this utilization announce free capacity to the others
  sigma          = 10.0 # interval between these announcements
  epsilon        = 0.1  # relative difference in turnaround below which bids count as equal
  answer_limit   = 2.0  # bids that have not arrived after this time are ignored
  mode           = "symmetric" # symmetric, volunteers, ask or off
}

queue {
  order    = "aims"    # aims: by priority, then jobs that can still meet their objective; urgency: by priority, then arrival; arrival: by arrival only
  backfill = true
  guesses  = "learned" # estimated run times; learned: corrected by the history of the class; owner: as the user gave them
}

fleet {
  idle_per_boot  = 0.4 # the most expensive machine is returned after it was idle for this multiple of its boot time; cheaper ones may be idle longer
  late_per_boot  = 3.0 # a machine that is not up after this multiple of its boot time is replaced
  soon_per_boot  = 1.0 # work waits for capacity that becomes free within this multiple of the shortest boot time, instead of renting; 0: never waits
}
