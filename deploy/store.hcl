# Settings of `thorntrail store serve --config deploy/store.hcl`. Requests above a rate are answered with 429; a burst may hold
# as many requests or changes as the rate allows in one second.
limits {
  requests_per_second     = 2000
  changes_per_second      = 1000
  value_kb                = 32
  changes_per_transaction = 16
}

storage {
  reserve_mb = 64 # changes are answered with 503 while less disk space than this is free
}

connections = 2000
