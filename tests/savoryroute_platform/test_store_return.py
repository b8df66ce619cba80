"""Tests of a store that returns from an older copy and gives out revisions again."""

from .test_path import PathTest


class StoreReturnTest(PathTest):
    async def return_from_copy(self):
        """Let the store return from a copy that lacks its latest five changes."""
        store = self.fleet.store
        copy = store.copy()
        for sequence in range(2, 7):
            self.fleet.list_instance(1, sequence=sequence)
        await self.fleet.wait_until(
            lambda: all(
                node.synchronizer.view.revision == store.revision
                for node in self.fleet.nodes
            )
        )
        store.return_from(copy)

    async def test_changes_after_the_return_are_followed(self):
        await self.return_from_copy()
        self.fleet.store.remove("servers/i-2")
        await self.fleet.wait_until(
            lambda: all(
                "i-2" not in node.synchronizer.view.instances
                for node in self.fleet.nodes
            )
        )
