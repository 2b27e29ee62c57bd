#pragma once

#include "edge/StoreMirror.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>

namespace crocusmount {

/// Copies of the platform's store that other instances hold.
class StoreCopySource {
public:
    virtual ~StoreCopySource() = default;

    /// Asks one of the other instances for its copy.
    /// @param revision  how far the caller's own copy is
    /// @return the copy; nothing where it is no newer; or why no instance could be asked
    Awaitable<absl::StatusOr<std::optional<StoreMirror::Copy>>> copyNewerThan(std::int64_t revision)
    {
        return onCopyNewerThan(revision);
    }

private:
    virtual Awaitable<absl::StatusOr<std::optional<StoreMirror::Copy>>> onCopyNewerThan(std::int64_t revision) = 0;
};

} // namespace crocusmount
