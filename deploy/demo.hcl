# Plan of `npm run demo`: an evening in a small newsroom, during which a controller and a machine are lost.
name        = "newsroom evening"
seconds     = 28
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
  name     = "cierre" # pages of the closing edition; all tasks of a job run at the same time
  team     = "mesa-azuay"
  shape    = "gang"
  urgency  = "urgent"
  tasks    = 3
  cpus     = 5
  ram      = 8
  run      = 5
  saves    = 2
  image_gb = 0.5
  deadline = 40
  every    = 4
  jobs     = 6
}
work {
  name     = "fotos" # batches of photos on GPUs
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
  jobs     = 7
}
work {
  name     = "indice" # archive scans; each portal job depends on one of these
  team     = "mesa-loja"
  urgency  = "low"
  tasks    = 4
  cpus     = 2
  run      = 2
  every    = 5
  jobs     = 4
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
  jobs     = 4
  after    = "indice"
  image_gb = 0.2
}

fault {
  at     = 10
  kind   = "restart"
  target = "leader"
  for    = 6
}
fault {
  at     = 16
  kind   = "lose"
  target = "busiest"
}
