"""A drain in the tree starts the same planned stop as SIGTERM."""

from sesameford.effective import EffectiveTree, InstanceSettings
from sesameford.instance import Instance
from sesameford.stops import StopStep
from tests.test_instance import make_settings


async def test_a_drain_in_the_tree_stops_the_instance_and_can_be_cancelled(tmp_path):
    """An operator drains the wrong instance before maintenance, and reverts the change
    while callers are still being served."""
    (settings,) = make_settings(tmp_path, 1, 0)
    instance = Instance(settings, "settings.yaml")

    def apply(revision, drain):
        own = InstanceSettings(settings.instance_id, drain=drain)
        instance._configure(
            EffectiveTree(revision, instances={settings.instance_id: own})
        )
        return instance._stop.step

    assert apply(1, False) is StopStep.SERVING
    assert apply(2, True) is StopStep.UNREADY
    assert apply(3, True) is StopStep.UNREADY
    assert instance._stop.request_count == 1
    assert apply(4, False) is StopStep.SERVING
    assert apply(5, True) is StopStep.UNREADY
