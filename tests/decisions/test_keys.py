"""Key affinity: jobs of one key go to the same worker until its queue costs more than a fetch of the data."""

from collections import Counter

from hazelbend.decisions import interface
from tests.support.model import Model


def serve_all(model: Model, fetch_time: int) -> None:
    """Serve jobs of 12 keys one after another; each takes `fetch_time` longer if its key is not cached."""
    recent_keys: dict[int, list[int]] = {}
    for request in range(240):
        key = 1 + request * 7 % 12
        model.arrive(request, key=key)
        worker = model.sends[-1][1]
        cached = recent_keys.setdefault(worker, [])
        model.start_job(request)
        model.advance(100_000 + (0 if key in cached else fetch_time))
        recent_keys[worker] = [*[other for other in cached if other != key], key][-4:]
        model.end_attempt(
            request, interface.Outcome.SERVED, load=interface.LoadReport(in_flight=0.0, free_slots=4.0)
        )


def preferred_workers(settings: interface.Settings, fetch_time: int, seed: int) -> dict[int, int]:
    model = Model(settings, seed)
    model.list_workers(*(interface.WorkerEntry(worker) for worker in range(1, 5)))
    serve_all(model, fetch_time)
    used = {key: Counter() for key in range(1, 13)}
    for _, worker, request in model.sends:
        used[1 + request * 7 % 12][worker] += 1
    assert all(counts.most_common(1)[0][1] >= 0.8 * counts.total() for counts in used.values())
    return {key: counts.most_common(1)[0][0] for key, counts in used.items()}


def test_dispatchers_agree_on_workers_of_keys_without_communication():
    settings = interface.Settings(
        fleet_size=3,
        reports_job_starts=True,
        reports_inline=True,
        classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE),),
    )
    assert preferred_workers(settings, 300_000, seed=1) == preferred_workers(settings, 300_000, seed=2)


def test_hot_key_spills_over_to_same_next_workers_for_all_dispatchers():
    """Guards against a hot key that spreads over all workers, each of which has to fetch its data."""
    used = []
    for seed in (1, 2, 3):
        model = Model(
            interface.Settings(
                classes=(interface.JobClass(idempotency=interface.Idempotency.SAFE, late_value_fraction=0.5),)
            ),
            seed,
        )
        model.list_workers(*(interface.WorkerEntry(worker) for worker in range(1, 9)))
        for request in range(8):
            model.arrive(request, key=5)
        used.append({worker for _, worker, _ in model.sends})
    assert used[0] == used[1] == used[2]
    assert 1 < len(used[0]) < 8
