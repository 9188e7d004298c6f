"""Entry point of the stand-in process."""

from standins import instance_list

instance_list.main()
