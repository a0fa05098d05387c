"""What tests need that play a load."""

from hibiscushatch_tools.load_events import Events, Upstreams

__all__ = ('Events', 'Upstreams')
