# No limits of its own: the measurement is of the store, not of its rates.
limits {
  requests_per_second = 1000000
  changes_per_second  = 1000000
}
