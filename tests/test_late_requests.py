"""Promotion requests that are answered and take effect seconds later."""

import pytest

import builders_late
import builders_node


@pytest.mark.parametrize("delay", [4.0, 7.0])
def test_answered_request_that_is_not_in_effect_names_the_only_target(
    monkeypatch, delay
):
    # Another endpoint was named after 3 s, and each undid the other's promotion.
    async def scenario(world):
        result = await builders_late.change_primary(world, delay, 14.0)
        assert len(world.clusters["g"].promotions) == 1
        assert [item.term for item in world.clusters["g"].promoted] == [2]
        assert not result.list_lost()

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("held_back", builders_late.HELD_BACK)
def test_second_target_does_not_undo_the_commits_of_the_first(monkeypatch, held_back):
    # The first one was published and acknowledged writes that the second one lacked.
    async def scenario(world):
        result = await builders_late.change_primary(
            world, 4.0, 14.0, held_back=held_back, back_after=1.0
        )
        assert result.told
        assert not result.list_lost()

    builders_node.run_scenario(monkeypatch, scenario)
