import pytest

from mothworks_fakes import testbed


@pytest.fixture
def bed(tmp_path):
    test_bed = testbed.Testbed(tmp_path)
    yield test_bed
    test_bed.stop()
