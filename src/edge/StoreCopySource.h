#pragma once

#include "edge/StoreMirror.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <cstdint>

namespace crocusmount {

/// Provides copies of the platform's store that other instances hold.
class StoreCopySource {
public:
    virtual ~StoreCopySource() = default;

    /// Requests the copy of one of the other instances.
    /// @param revision  revision of the caller's own copy
    /// @return the copy and its progress, or the progress alone if the copy is not newer than `revision`; NotFound if
    /// no
    ///         other instance is known, Unavailable if the instance does not answer or does not have a current copy,
    ///         InvalidArgument if the answer cannot be decoded
    Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> copyNewerThan(std::int64_t revision)
    {
        return onCopyNewerThan(revision);
    }

private:
    virtual Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> onCopyNewerThan(std::int64_t revision) = 0;
};

} // namespace crocusmount
