"""Steps: generating, storing and delivering the samples that trainers request."""
