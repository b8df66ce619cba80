"""Tests of the store of the active document."""

import json
import threading
import unittest

from result import Ok

from savoryroute.coordination.document_store import (
    DocumentCodec,
    DocumentStore,
    Outcome,
)
from savoryroute.state.document import parse_document
from savoryroute_lab.memory_fleet import document_text


class OfferPublishedTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.threads = []
        self.store = DocumentStore(
            DocumentCodec("production", "documents/production", self.parse, Ok)
        )

    def parse(self, text, source):
        self.threads.append(threading.current_thread())
        return parse_document(text, source)

    async def test_comments_are_parsed_in_another_thread(self):
        text = document_text(1) + " // a comment"
        outcome = await self.store.offer_published(text, 5)
        self.assertIs(outcome, Outcome.APPLIED)
        self.assertEqual(self.store.revision, 5)
        self.assertIsNot(self.threads[0], threading.main_thread())

    async def test_strict_json_is_parsed_in_the_main_thread(self):
        await self.store.offer_published(document_text(1), 5)
        self.assertIs(self.threads[0], threading.main_thread())

    async def test_a_newer_revision_that_arrives_during_parsing_stays(self):
        def parse(text, source):
            if "comment" in text:
                self.store.offer_text(document_text(2), 9)
            return parse_document(text, source)

        self.store = DocumentStore(
            DocumentCodec("production", "documents/production", parse, Ok)
        )
        text = document_text(1) + " // a comment"
        outcome = await self.store.offer_published(text, 5)
        self.assertIs(outcome, Outcome.OLD)
        self.assertEqual(self.store.revision, 9)
        self.assertEqual(self.store.plain["version"], 2)

    async def test_invalid_json_is_refused(self):
        outcome = await self.store.offer_published(json.dumps({})[:1], 5)
        self.assertIs(outcome, Outcome.INVALID)
        self.assertEqual(self.store.revision, 0)
