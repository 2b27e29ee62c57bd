#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"
#include "relay/ContentDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// The properties of a call that routing and admission depend on. The caller of the reducer keeps the call's bytes.
struct CallSpec {
    std::string name; ///< the caller's id of this call, for logs
    std::string host; ///< without a port
    std::string path; ///< without the query
    ContentDigest content; ///< of everything but the headers; equal for a repeat, even under another name
    /// The parts of the prompt in order, without the last one, which belongs to this request or its session alone.
    std::vector<PromptPartId> promptParts;
    std::string key; ///< bearer key; empty if none was sent
    Duration callerTimeout {}; ///< how long the caller waits for the answer; zero if unknown
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    std::uint32_t expectedAnswerTokens = 0; ///< the caller's estimate; zero if unknown
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event that the caller has from an earlier call
};

} // namespace crocusmount::relay
