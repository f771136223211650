import unittest

from jackdawlanding.decisions import slots


def make_job(rank=1, *, is_nested=False, deadline=10.0, objective=5.0, kind="k"):
    return slots.Job(
        kind=kind,
        rank=rank,
        is_nested=is_nested,
        deadline=deadline,
        objective=objective,
    )


def fill(gate, count, now=0.0):
    jobs = [make_job() for _ in range(count)]
    for job in jobs:
        gate.submit(now=now, job=job)
    return jobs


class SlotGateTest(unittest.TestCase):
    def test_a_share_of_the_slots_stays_free(self):
        for count, limit in ((1, 1), (4, 3), (15, 14), (19, 17), (100, 94)):
            self.assertEqual(slots.SlotController(slots=count).limit, limit)

    def test_ranks_go_first_and_calls_before_new_work_of_a_rank(self):
        gate = slots.SlotController(slots=1)
        running = fill(gate, 1)[0]
        calm, call, urgent = make_job(2), make_job(2, is_nested=True), make_job(0)
        for job in (calm, call, urgent):
            offer = gate.submit(now=0.0, job=job)
            self.assertIs(offer.verdict, slots.Verdict.QUEUED)
        order = []
        for _ in range(3):
            gate.release(now=0.0, job=running, is_good=False)
            admitted, _ = gate.admit_next(now=0.0)
            running = admitted[0]
            order.append(running)
        self.assertEqual(order, [urgent, call, calm])

    def test_what_cannot_end_in_time_is_refused_with_a_time_to_return(self):
        gate = slots.SlotController(slots=1)
        fill(gate, 1)
        gate.mean_seconds = 1.0
        offer = gate.submit(now=0.0, job=make_job(deadline=0.9, objective=0.5))
        self.assertIs(offer.verdict, slots.Verdict.REFUSED)
        self.assertGreater(offer.retry_after, 0.5)

    def test_a_newcomer_of_a_higher_rank_turns_out_what_gets_too_late(self):
        gate = slots.SlotController(slots=1)
        fill(gate, 1)
        gate.mean_seconds = 0.3
        waiting = make_job(2, deadline=0.85, objective=0.85)
        self.assertIs(gate.submit(now=0.0, job=waiting).verdict, slots.Verdict.QUEUED)
        offer = gate.submit(now=0.0, job=make_job(0, deadline=2, objective=2))
        self.assertEqual(offer.evicted, (waiting,))
        self.assertEqual(gate.queued, 1)

    def test_what_waited_too_long_is_handed_back(self):
        gate = slots.SlotController(slots=1)
        running = fill(gate, 1)[0]
        late = make_job(deadline=1.0, objective=1.0)
        gate.submit(now=0.0, job=late)
        gate.release(now=2.0, job=running, is_good=True)
        self.assertEqual(gate.admit_next(now=2.0), ([], [late]))

    def test_durations_are_learned_from_whole_answers_only(self):
        gate = slots.SlotController(slots=9)
        job = make_job(kind="slow")
        gate.submit(now=0.0, job=job)
        gate.release(now=0.5, job=job, is_good=False)
        self.assertEqual(gate.find_duration("slow"), slots.FIRST_SECONDS)
        gate.submit(now=1.0, job=job)
        gate.release(now=1.5, job=job, is_good=True)
        self.assertAlmostEqual(gate.find_duration("slow"), 0.5)


if __name__ == "__main__":
    unittest.main()
