import pytest

from mothworks_fakes import testbed


@pytest.fixture
def bed(tmp_path):
    made = testbed.Testbed(tmp_path)
    yield made
    made.stop()
