import pytest

from sardinehold.core import fairness


class Item:
    def __init__(self, owner, is_read=True):
        self.owner = owner
        self.is_read = is_read


def serve(queue, count):
    """Return how often each owner was served in the first ``count`` requests."""
    served = {}
    for _ in range(count):
        item = queue.pop()
        served[item.owner] = served.get(item.owner, 0) + 1
    return served


@pytest.mark.parametrize(("weight", "share"), [(1.0, 20), (3.0, 30)])
def test_fair_queue_serves_by_weight_however_many_wait(weight, share):
    queue = fairness.FairQueue()
    for _ in range(100):
        queue.push(Item("loud"), 1.0)
    for _ in range(40):
        queue.push(Item("quiet"), weight)
    served = serve(queue, 40)
    assert abs(served["quiet"] - share) <= 1


def test_fair_queue_counts_cost_and_not_statements():
    queue = fairness.FairQueue()
    for _ in range(50):
        queue.push(Item("dear"), 1.0)
        queue.push(Item("cheap"), 1.0)
    for _ in range(200):
        queue.flows["dear"].read_cost.record(0.1)
        queue.flows["cheap"].read_cost.record(0.01)
    served = serve(queue, 44)
    assert served["cheap"] >= 9 * served["dear"]


def test_writes_do_not_starve_reads_of_the_same_team():
    queue = fairness.FairQueue()
    for _ in range(50):
        queue.push(Item("desk", is_read=False), 1.0)
    for _ in range(10):
        queue.push(Item("desk"), 1.0)
    reads = sum(queue.pop().is_read for _ in range(20))
    assert reads == 10


def test_team_that_was_idle_gains_no_credit():
    queue = fairness.FairQueue()
    for _ in range(100):
        queue.push(Item("steady"), 1.0)
    serve(queue, 50)
    for _ in range(50):
        queue.push(Item("late"), 1.0)
    served = serve(queue, 40)
    assert abs(served["late"] - 20) <= 1


def test_fifo_serves_in_order_of_arrival():
    queue = fairness.FifoQueue()
    for owner in "abcab":
        queue.push(Item(owner), 1.0)
    assert [queue.pop().owner for _ in range(5)] == list("abcab")


@pytest.mark.parametrize("name", sorted(fairness.QUEUES))
def test_drained_queue_is_empty(name):
    queue = fairness.QUEUES[name]()
    for owner in "aab":
        queue.push(Item(owner), 1.0)
    assert len(queue.drain()) == 3
    assert not len(queue)


def test_expected_wait_grows_with_the_own_queue_only():
    queue = fairness.FairQueue()
    for _ in range(100):
        queue.push(Item("loud"), 1.0)
    assert queue.estimate_wait("quiet", 1.0, 3.0) == 0.0
    assert queue.estimate_wait("loud", 1.0, 3.0) > 0.05
