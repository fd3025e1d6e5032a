# What `thorntrail store serve --config deploy/store.hcl` takes. Above the rates it
# answers 429; bursts of one second's worth are allowed.
limits {
  requests_per_second     = 2000
  changes_per_second      = 1000
  value_kb                = 32
  changes_per_transaction = 16
}

storage {
  reserve_mb = 64 # with less room than this on the disk, changes are answered 503
}

connections = 2000
