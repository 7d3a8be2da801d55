from sardinehold.core import timers


def test_buckets_of_two_callbacks_do_not_mix():
    found = []

    def first(node, subjects):
        found.append(("first", subjects))

    def second(node, subjects):
        found.append(("second", subjects))

    clock = timers.Timers()
    clock.set_shared(1.0, first, "a")
    clock.set_shared(1.0, second, "b")
    clock.set_shared(1.001, first, "c")
    clock.run_due(None, 0.99)
    assert found == []
    clock.run_due(None, 1.02)
    assert sorted(found) == [("first", ["a", "c"]), ("second", ["b"])]
    assert clock.next_time == timers.NEVER


def test_timers_run_in_order_and_may_set_others():
    found = []
    clock = timers.Timers()

    def note(node, subject):
        found.append(subject)
        if subject == "a":
            clock.set(1.5, note, "b")

    clock.set(2.0, note, "c")
    clock.set(1.0, note, "a")
    clock.run_due(None, 3.0)
    assert found == ["a", "b", "c"]
