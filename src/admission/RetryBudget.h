#pragma once

#include <algorithm>
#include <cstdint>

namespace crocusmount {

/// A token bucket that limits retries to a share of the requests, so that retries cannot amplify an outage. Each token
/// pays for one retry.
class RetryBudget {
public:
    /// @param ratio         tokens added per request
    /// @param burst         capacity of the bucket, in tokens
    /// @param initialShare  share of the capacity that is filled at the start, see raiseBurstShare
    RetryBudget(double ratio, double burst, double initialShare = 1)
        : m_tokensPerRequest(ratio)
        , m_capacity(burst)
        , m_grantedShare(initialShare)
        , m_tokens(burst * initialShare)
    {
    }

    /// Fills the bucket of a process that has just started step by step. A process that is restarted several times
    /// within the window over which retries are counted thus gets no more retries than one that keeps running.
    /// @param share  share of the capacity to have been granted by now, from 0 to 1; ignored unless it has grown
    void raiseBurstShare(double share)
    {
        if (share <= m_grantedShare)
            return;
        m_tokens = std::min(m_capacity, m_tokens + (share - m_grantedShare) * m_capacity);
        m_grantedShare = share;
    }

    /// Changes the capacity of the bucket, for example because the number of instances that share the total has
    /// changed. The tokens in the bucket are kept, up to the new capacity.
    void setBurst(double burst)
    {
        m_capacity = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// Adds the tokens for one request.
    void addRequest() { m_tokens = std::min(m_capacity, m_tokens + m_tokensPerRequest); }

    /// @return whether one more retry is allowed
    bool hasToken() const { return m_tokens >= 1; }
    /// Consumes a token if there is one.
    /// @return whether the retry is allowed
    bool spend()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        ++m_spent;
        return true;
    }

    /// Gives a consumed token back, because the retry was not sent.
    void refund()
    {
        m_tokens = std::min(m_capacity, m_tokens + 1);
        --m_spent;
    }

    /// @return tokens consumed and not given back since the start of the process
    std::uint64_t spent() const { return m_spent; }
    /// @return tokens in the bucket
    double tokens() const { return m_tokens; }
    /// @return capacity of the bucket, in tokens
    double capacity() const { return m_capacity; }

private:
    double m_tokensPerRequest;
    double m_capacity; ///< in tokens
    double m_grantedShare; ///< share of the capacity granted so far
    double m_tokens; ///< in the bucket
    std::uint64_t m_spent = 0; ///< see spent()
};

} // namespace crocusmount
