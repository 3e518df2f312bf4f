"""Steps: the samples that trainers ask for, made, kept and handed out."""
