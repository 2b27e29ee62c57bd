#pragma once

#include "crocusmount/StrongId.h"

#include <cstdint>

namespace crocusmount {

/// One request of a caller, unique within the instance that received it.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// One try at a request on one chain.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// One entry instance of crocusmount.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// One backend server: a model engine or a plain service.
using BackendId = StrongId<struct BackendTag, std::string>;
/// The time at which one start of a backend server began, in Unix milliseconds by its own clock; zero where it does not
/// say. Its id and this name one start.
using StartTime = StrongId<struct StartTimeTag, std::int64_t>;
using WorkspaceId = StrongId<struct WorkspaceTag, std::string>;
using PipelineId = StrongId<struct PipelineTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// A revision of the platform's store; grows with every accepted write.
using Revision = StrongId<struct RevisionTag, std::int64_t>;
/// Counts the changes of what one engine holds.
using Generation = StrongId<struct GenerationTag, std::uint64_t>;
/// One shard of the log of claims.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;

} // namespace crocusmount
