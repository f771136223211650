"""A listing of the store goes on, or ends, whatever its pages hold."""

import unittest

from jackdawlanding.mesh import listings
from jackdawlanding.platform import documents


def make_page(*keys, has_more=True, revision=7):
    items = tuple(documents.Item(key=key, revision=1, value=b"") for key in keys)
    return documents.Page(items=items, revision=revision, has_more=has_more)


class ListingTest(unittest.TestCase):
    def add(self, listing, *keys, **fields):
        return listing.add(make_page(*keys, **fields)), listing.after

    def test_the_next_page_begins_after_the_key_as_the_store_gave_it(self):
        """It began after a replacement that sorts before the key, again and again."""
        listing = listings.Listing()
        odd = "servers/\ud83d-00"
        self.assertEqual(self.add(listing, "a", odd), (listings.Step.NEXT, odd))
        step, _ = self.add(listing, "servers/\uffff", has_more=False, revision=9)
        self.assertEqual(step, listings.Step.COMPLETE)
        self.assertEqual(listing.keys, {"a", odd, "servers/\uffff"})
        self.assertEqual(listing.revision, 7)

    def test_odd_keys_that_a_store_can_t_begin_after_are_skipped(self):
        listing = listings.Listing()
        page = "a", "servers/\ud83d-00"
        self.add(listing, *page)
        expected = listings.Step.STALLED, "servers/\U0010ffff"
        self.assertEqual(self.add(listing, *page), expected)
        self.assertEqual(self.add(listing, "servers0")[0], listings.Step.NEXT)

    def test_a_page_out_of_order_goes_on_after_its_greatest_key(self):
        listing = listings.Listing()
        self.add(listing, "a", "b")
        self.assertEqual(self.add(listing, "d", "b"), (listings.Step.STALLED, "d"))

    def test_a_listing_that_does_not_go_on_ends_in_part(self):
        for keys in ((), ("a",), ("\ud83d",)):
            with self.subTest(keys=keys):
                listing = listings.Listing()
                steps = [self.add(listing, *keys)[0] for _ in range(10)]
                self.assertIn(listings.Step.PARTIAL, steps)
                self.assertEqual(listing.keys, set(keys))

    def test_a_listing_without_end_ends_in_part(self):
        listing = listings.Listing()
        for number in range(listings.MAXIMUM_PAGES):
            step, _ = self.add(listing, f"{number:09}")
        self.assertEqual(step, listings.Step.PARTIAL)
