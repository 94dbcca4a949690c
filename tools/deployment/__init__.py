"""The deploy file of the project: what it may say, its templates, and what its roles are told."""
