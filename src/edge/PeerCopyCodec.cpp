#include "edge/PeerCopyCodec.h"

#include "edge/PeerDatagram.h"

namespace crocusmount {

std::string encodePeerCopy(const StoreMirror::PeerCopy& copy)
{
    PeerDatagram datagram { std::nullopt, copy.progress, {}, {} };
    if (copy.newer) {
        StoreMirror::Changes changes { 0, { copy.newer->range.revision, {} } };
        changes.batch.events.reserve(copy.newer->range.entries.size() + copy.newer->deferred.size());
        for (const StoreEntry& entry : copy.newer->range.entries)
            changes.batch.events.push_back({ entry, false });
        for (const StoreEntry& entry : copy.newer->deferred)
            changes.batch.events.push_back({ entry, true });
        datagram.storeChanges = std::move(changes);
    }
    return encode(datagram);
}

absl::StatusOr<StoreMirror::PeerCopy> decodePeerCopy(const std::string& bytes)
{
    auto datagram = decodePeerDatagram(bytes);
    if (!datagram.ok())
        return datagram.status();
    if (!datagram->storeProgress || (datagram->storeChanges && datagram->storeChanges->after != 0))
        return absl::InvalidArgumentError("the answer does not contain a copy of the store");
    StoreMirror::PeerCopy copy { *datagram->storeProgress, {} };
    if (!datagram->storeChanges)
        return copy;
    copy.newer = StoreMirror::Copy { { datagram->storeChanges->batch.revision, {} } };
    for (StoreEvent& event : datagram->storeChanges->batch.events)
        (event.deleted ? copy.newer->deferred : copy.newer->range.entries).push_back(std::move(event.entry));
    return copy;
}

} // namespace crocusmount
