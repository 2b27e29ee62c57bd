#pragma once

#include "crocusmount/Time.h"
#include "relay/RequestIdentity.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocusmount::relay {

/// What the relay needs to know of a call; its bytes stay with the shell.
struct CallSpec {
    std::string name; ///< the caller's own id of this call, for logs
    std::string host; ///< without a port
    std::string path; ///< without the query
    ContentDigest content; ///< of all that the caller sent but headers: a repeat has the same under another name
    std::string key; ///< the bearer key; empty if none was sent
    Duration patience {}; ///< how long the caller waits; zero: not said
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    std::uint32_t expectedAnswerTokens = 0; ///< the caller's estimate; zero: none
    std::optional<std::uint64_t> resumeAfter; ///< the last event that the caller has of an earlier attempt
};

} // namespace crocusmount::relay
