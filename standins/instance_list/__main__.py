"""Runs the stand-in."""

from standins import instance_list

instance_list.main()
