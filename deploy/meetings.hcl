# Base plan for randomised rehearsals with compound faults: long jobs of all three kinds, some of which are cancelled, small
# jobs of a few tasks, some of them bound to one zone, and a pipeline.
# Usage: thorntrail rehearse deploy/meetings.hcl --virtual --drawn 200
name        = "meetings"
seconds     = 100
settle      = 220
controllers = 3

team {
  name      = "mesa-azuay"
  cpus      = 64
  most_cpus = 120
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
  boot  = 2
  count = 5
  zones = ["a", "b"]
}
machine {
  name       = "fotolab"
  cpus       = 32
  gpus       = 4
  ram        = 128
  price      = 4.2
  spot_price = 1.1
  boot       = 4
  count      = 3
  spot       = 3
}

work {
  name     = "cierre"
  team     = "mesa-azuay"
  shape    = "gang"
  urgency  = "urgent"
  tasks    = 3
  cpus     = 5
  ram      = 8
  run      = 14
  saves    = 4
  image_gb = 0.5
  every    = 9
  jobs     = 8
}
work {
  name            = "borrador" # long gangs that are cancelled while they run
  team            = "mesa-azuay"
  shape           = "gang"
  tasks           = 2
  cpus            = 5
  ram             = 8
  run             = 200
  saves           = 10
  every           = 13
  jobs            = 6
  cancelled_after = 24
}
work {
  name            = "fotos" # long batches that are cancelled while they run
  team            = "mesa-loja"
  urgency         = "low"
  tasks           = 4
  cpus            = 4
  gpus            = 1
  ram             = 8
  run             = 200
  spot            = true
  every           = 14
  jobs            = 6
  cancelled_after = 19
}
work {
  name            = "portada" # replicas that run until they are cancelled
  team            = "mesa-azuay"
  shape           = "service"
  urgency         = "critical"
  tasks           = 2
  cpus            = 2
  run             = 1
  every           = 30
  jobs            = 3
  cancelled_after = 50
}
work {
  name     = "cuaderno" # bound to one zone, any of them
  team     = "mesa-loja"
  tasks    = 4
  cpus     = 3
  run      = 18
  one_zone = true
  every    = 11
  jobs     = 7
}
work {
  name     = "suplemento" # a gang bound to one zone
  team     = "mesa-azuay"
  shape    = "gang"
  urgency  = "urgent"
  tasks    = 3
  cpus     = 4
  run      = 16
  saves    = 4
  one_zone = true
  every    = 19
  jobs     = 4
}
work {
  name  = "pareja" # few tasks, which end at different times
  team  = "mesa-loja"
  tasks = 3
  cpus  = 5
  run   = 25
  every = 8
  jobs  = 9
}
work {
  name     = "indice"
  team     = "mesa-loja"
  urgency  = "low"
  tasks    = 4
  cpus     = 2
  run      = 4
  every    = 12
  jobs     = 5
  image_gb = 0.2
}
work {
  name     = "portal"
  team     = "mesa-azuay"
  urgency  = "urgent"
  cpus     = 1
  run      = 2
  every    = 12
  jobs     = 5
  after    = "indice"
  image_gb = 0.2
}

# Faults of this plan when it is run without --drawn: users send requests to all controllers at once and cancel jobs as they
# end, responses of the state service are lost, machines reach no controller, and the leader is restarted.
fault {
  kind = "close-looks"
  at   = 8
  for  = 90
}
fault {
  kind  = "cancel-at-end"
  at    = 8
  share = 0.3
  for   = 90
}
fault {
  kind = "odd-requests"
  at   = 10
  for  = 60
}
fault {
  kind    = "late-writes"
  at      = 20
  share   = 0.4
  at_once = true
  for     = 15
}
fault {
  kind = "restart"
  at   = 28
  for  = 4
}
fault {
  kind  = "mute"
  at    = 45
  count = 2
  for   = 12
}
fault {
  kind  = "cancel-now"
  at    = 50
  count = 3
  hang  = 6
}
fault {
  kind  = "late-writes"
  at    = 60
  share = 0.3
  for   = 10
}
fault {
  kind = "restart"
  at   = 64
  for  = 0.3
}
