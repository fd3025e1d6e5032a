# A plan for `thorntrail rehearse`: an edition close with archive work beside it, at the times of a
# real place. See docs/operations/rehearsals.md for every field and fault.
name        = "edition close"
seconds     = 90
settle      = 150
controllers = 3

team {
  name      = "mesa-azuay"
  cpus      = 64
  most_cpus = 160
}
team {
  name      = "mesa-loja"
  cpus      = 32
  most_cpus = 96
}

machine {
  name  = "redaccion"
  cpus  = 16
  ram   = 64
  price = 0.86
  boot  = 2
  count = 8
}
machine {
  name       = "fotolab"
  cpus       = 32
  gpus       = 4
  ram        = 128
  price      = 4.2
  spot_price = 1.1
  boot       = 3
  count      = 3
  spot       = 2
}

work {
  name     = "cierre" # pages of an edition close, all together
  team     = "mesa-azuay"
  shape    = "gang"
  urgency  = "urgent"
  tasks    = 3
  cpus     = 5
  ram      = 8
  run      = 5
  saves    = 2
  image_gb = 0.5
  deadline = 60
  every    = 4
  jobs     = 14
}
work {
  name     = "fotos" # photo batches on graphics cards
  team     = "mesa-loja"
  urgency  = "low"
  tasks    = 5
  cpus     = 4
  gpus     = 1
  ram      = 8
  run      = 3
  spot     = true
  image_gb = 0.5
  every    = 3
  jobs     = 16
}
work {
  name     = "indice" # the archive: scanned first, then indexed
  team     = "mesa-loja"
  urgency  = "low"
  tasks    = 4
  cpus     = 2
  run      = 2
  every    = 5
  jobs     = 8
  image_gb = 0.2
}
work {
  name     = "portal"
  team     = "mesa-azuay"
  urgency  = "urgent"
  tasks    = 1
  cpus     = 1
  run      = 1
  every    = 5
  jobs     = 8
  after    = "indice"
  image_gb = 0.2
}

fault {
  at     = 30
  kind   = "restart"
  target = "leader"
  for    = 20
}
fault {
  at     = 34 # in the midst of the takeover
  kind   = "lose"
  target = "busiest"
}
fault {
  moment = "rental-in-flight"
  kind   = "late"
  target = "all"
  by     = "cloud"
  what   = "hire"
  ms     = 20000
}
