#pragma once

#include "crocusmount/RequestSpec.h"
#include "crocusmount/Time.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <string>
#include <vector>

namespace crocusmount {

/// Caches completed answers by idempotency key, so that a caller that repeats a request gets the first answer again.
/// The cache is limited by age and by the number of answers.
class AnswerCache {
public:
    struct Answer {
        RequestSpec spec; ///< the request that was answered
        std::vector<std::string> tokens; ///< text of each token, in order
    };

    /// @param maxAge      age at which an answer is removed
    /// @param maxAnswers  number of answers above which the oldest one is removed
    AnswerCache(Duration maxAge, std::size_t maxAnswers);

    /// Stores an answer. An answer that replaces an older one under its key keeps the age of the older one.
    /// @param keyHash  see hashKey
    void store(const std::string& keyHash, Answer, TimePoint now);
    /// @return the answer, or null if none is cached; valid until the next call
    const Answer* find(const std::string& keyHash, TimePoint now);

private:
    /// Removes the answers that exceed the limits of age and number.
    void removeExpired(TimePoint now);

    struct Entry {
        std::string keyHash;
        TimePoint storedAt;
    };

    Duration m_maxAge;
    std::size_t m_maxAnswers;
    std::deque<Entry> m_insertionOrder; ///< oldest first
    absl::flat_hash_map<std::string, Answer> m_answers; ///< by hash of the key
};

} // namespace crocusmount
