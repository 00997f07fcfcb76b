"""Maximum of the values of a recent time."""

from banyanswitch.helpers.recent_maximum import RecentMaximum


def test_value_counts_until_the_retention_has_passed() -> None:
    maximum = RecentMaximum(30.0)
    assert maximum.note(8, 0.0) == 8
    assert maximum.note(3, 10.0) == 8
    assert maximum.note(5, 20.0) == 8
    assert maximum.note(1, 30.5) == 5
    assert maximum.note(1, 50.5) == 1
