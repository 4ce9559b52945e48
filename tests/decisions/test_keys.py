"""Where a key's data must be fetched, jobs about it stay together until the queue costs more."""

from collections import Counter

from hazelbend.decisions import interface as dy
from tests.support.model import Model


def serve_all(model: Model, fetch: int) -> None:
    """Jobs about 12 keys, one after the other; each takes longer where its key was not run lately."""
    lately: dict[int, list[int]] = {}
    for request in range(240):
        key = 1 + request * 7 % 12
        model.arrive(request, key=key)
        worker = model.sends[-1][1]
        kept = lately.setdefault(worker, [])
        model.start_job(request)
        model.advance(100_000 + (0 if key in kept else fetch))
        lately[worker] = [*[each for each in kept if each != key], key][-4:]
        model.end_attempt(request, dy.Outcome.SERVED, load=dy.LoadReport(in_flight=0.0, free_slots=4.0))


def homes(settings: dy.Settings, fetch: int, seed: int) -> dict[int, int]:
    model = Model(settings, seed)
    model.list_workers(*(dy.WorkerEntry(worker) for worker in range(1, 5)))
    serve_all(model, fetch)
    used = {key: Counter() for key in range(1, 13)}
    for _, worker, request in model.sends:
        used[1 + request * 7 % 12][worker] += 1
    assert all(counts.most_common(1)[0][1] >= 0.8 * counts.total() for counts in used.values())
    return {key: counts.most_common(1)[0][0] for key, counts in used.items()}


def test_all_dispatchers_agree_on_the_worker_of_a_key_without_a_word():
    settings = dy.Settings(
        fleet_size=3,
        reports_job_starts=True,
        reports_inline=True,
        classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE),),
    )
    assert homes(settings, 300_000, seed=1) == homes(settings, 300_000, seed=2)


def test_a_key_too_hot_for_one_worker_spills_over_to_the_next_in_its_order():
    """Guards against a hot key that scatters over all workers, each of which must fetch its data."""
    used = []
    for seed in (1, 2, 3):
        model = Model(
            dy.Settings(classes=(dy.JobClass(idempotency=dy.Idempotency.SAFE, late_value_fraction=0.5),)),
            seed,
        )
        model.list_workers(*(dy.WorkerEntry(worker) for worker in range(1, 9)))
        for request in range(8):
            model.arrive(request, key=5)
        used.append({worker for _, worker, _ in model.sends})
    assert used[0] == used[1] == used[2]
    assert 1 < len(used[0]) < 8
