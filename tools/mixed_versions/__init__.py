"""Runs two builds of saddlewing in one cluster and checks that they work together."""
