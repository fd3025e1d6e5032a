# Base plan for soak tests: faults on real processes at random times, generated from a seed. Long and short jobs of all three
# kinds, some of them cancelled, so that at any time tasks are running, waiting, ending or migrating.
# Usage: thorntrail rehearse deploy/soak.hcl --soak 20
name        = "soak"
seconds     = 75
settle      = 60
controllers = 3

team {
  name      = "mesa-azuay"
  cpus      = 100
  most_cpus = 180
}
team {
  name      = "mesa-loja"
  cpus      = 60
  most_cpus = 140
}

machine {
  name  = "redaccion"
  cpus  = 16
  ram   = 64
  boot  = 2
  count = 9
  zones = ["a", "b"]
}
machine {
  name       = "fotolab"
  cpus       = 32
  gpus       = 4
  ram        = 128
  price      = 4.2
  spot_price = 1.1
  boot       = 3
  count      = 4
  spot       = 4
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
  image_gb = 0.3
  every    = 6
  jobs     = 12
}
work {
  name            = "borrador" # long gangs that are cancelled while they run
  team            = "mesa-azuay"
  shape           = "gang"
  tasks           = 3
  cpus            = 6
  ram             = 8
  run             = 120
  saves           = 10
  image_gb        = 0.3
  every           = 10
  jobs            = 6
  cancelled_after = 55
}
work {
  name            = "fotos"
  team            = "mesa-loja"
  urgency         = "low"
  tasks           = 8
  cpus            = 4
  gpus            = 1
  ram             = 8
  run             = 30
  spot            = true
  image_gb        = 0.3
  every           = 12
  jobs            = 6
  cancelled_after = 70
}
work {
  name            = "portada"
  team            = "mesa-azuay"
  shape           = "service"
  urgency         = "critical"
  tasks           = 2
  cpus            = 2
  run             = 1
  image_gb        = 0.3
  every           = 20
  jobs            = 3
  cancelled_after = 50
}
work {
  name     = "cuaderno" # bound to one zone, any of them
  team     = "mesa-loja"
  tasks    = 4
  cpus     = 3
  run      = 12
  one_zone = true
  image_gb = 0.3
  every    = 9
  jobs     = 7
}
work {
  name     = "indice"
  team     = "mesa-loja"
  tasks    = 12
  cpus     = 2
  run      = 6
  image_gb = 0.2
  every    = 8
  jobs     = 8
}
