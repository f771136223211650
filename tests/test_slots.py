"""Jobs run within the slots and in order; those that can't end in time are refused."""

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


def fill(controller, count, now=0.0):
    jobs = [make_job() for _ in range(count)]
    for job in jobs:
        controller.submit(now=now, job=job)
    return jobs


class SlotControllerTest(unittest.TestCase):
    def test_a_share_of_the_slots_stays_free(self):
        for count, limit in ((1, 1), (4, 3), (15, 14), (19, 17), (100, 94)):
            self.assertEqual(slots.SlotController(slots=count).limit, limit)

    def test_jobs_run_by_rank_and_nested_calls_before_new_work(self):
        controller = slots.SlotController(slots=1)
        running = fill(controller, 1)[0]
        new, nested, urgent = make_job(2), make_job(2, is_nested=True), make_job(0)
        for job in (new, nested, urgent):
            result = controller.submit(now=0.0, job=job)
            self.assertIs(result.verdict, slots.Verdict.QUEUED)
        order = []
        for _ in range(3):
            controller.release(now=0.0, job=running, is_success=False)
            admitted, _ = controller.admit_next(now=0.0)
            running = admitted[0]
            order.append(running)
        self.assertEqual(order, [urgent, nested, new])

    def test_a_job_that_cannot_end_in_time_is_refused_with_a_retry_time(self):
        controller = slots.SlotController(slots=1)
        fill(controller, 1)
        controller.mean_seconds = 1.0
        result = controller.submit(now=0.0, job=make_job(deadline=0.9, objective=0.5))
        self.assertIs(result.verdict, slots.Verdict.REFUSED)
        self.assertGreater(result.retry_after, 0.5)

    def test_an_urgent_job_evicts_waiting_jobs_that_become_too_late(self):
        controller = slots.SlotController(slots=1)
        fill(controller, 1)
        controller.mean_seconds = 0.3
        waiting = make_job(2, deadline=0.85, objective=0.85)
        self.assertIs(
            controller.submit(now=0.0, job=waiting).verdict, slots.Verdict.QUEUED
        )
        result = controller.submit(now=0.0, job=make_job(0, deadline=2, objective=2))
        self.assertEqual(result.evicted, (waiting,))
        self.assertEqual(controller.queued, 1)

    def test_a_job_that_waited_too_long_is_returned_as_late(self):
        controller = slots.SlotController(slots=1)
        running = fill(controller, 1)[0]
        late = make_job(deadline=1.0, objective=1.0)
        controller.submit(now=0.0, job=late)
        controller.release(now=2.0, job=running, is_success=True)
        self.assertEqual(controller.admit_next(now=2.0), ([], [late]))

    def test_only_completed_jobs_count_for_durations(self):
        controller = slots.SlotController(slots=9)
        job = make_job(kind="slow")
        controller.submit(now=0.0, job=job)
        controller.release(now=0.5, job=job, is_success=False)
        self.assertEqual(controller.get_duration("slow"), slots.INITIAL_SECONDS)
        controller.submit(now=1.0, job=job)
        controller.release(now=1.5, job=job, is_success=True)
        self.assertAlmostEqual(controller.get_duration("slow"), 0.5)


if __name__ == "__main__":
    unittest.main()
