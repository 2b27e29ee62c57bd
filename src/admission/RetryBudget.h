#pragma once

#include <algorithm>
#include <cstdint>

namespace crocusmount {

/// A token bucket that limits retries to a share of the requests, so that retries cannot amplify an outage. Each token
/// pays for one retry. Within any span of time, at most the capacity and the tokens of the requests in it are spent.
class RetryBudget {
public:
    /// @param ratio     tokens added per request
    /// @param capacity  of the bucket, in tokens
    /// @param isFull    whether the bucket is full at the start; otherwise only requests fill it, see setShare()
    RetryBudget(double ratio, double capacity, bool isFull = true)
        : m_tokensPerRequest(ratio)
        , m_capacity(capacity)
        , m_tokens(isFull ? capacity : 0)
        , m_isGranted(isFull)
    {
    }

    /// Changes the capacity, for example because the number of processes that share a total has changed, and fills the
    /// bucket once it may be full. Tokens that the bucket held before that count as a part of the filling, because
    /// they may have been spent.
    /// @param isGranted  whether the bucket may have been filled by other means than requests
    void setShare(double capacity, bool isGranted)
    {
        m_capacity = capacity;
        if (isGranted && !m_isGranted)
            m_tokens += std::max(0.0, m_capacity - m_mostTokens);
        m_tokens = std::min(m_tokens, m_capacity);
        if (!isGranted && m_isGranted)
            m_mostTokens = m_tokens;
        m_isGranted = isGranted;
    }

    /// Adds the tokens for one request.
    void addRequest() { add(m_tokensPerRequest); }

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
        add(1);
        --m_spent;
    }

    /// @return tokens consumed and not given back since the start of the process
    std::uint64_t spent() const { return m_spent; }
    /// @return tokens in the bucket
    double tokens() const { return m_tokens; }
    /// @return capacity of the bucket, in tokens
    double capacity() const { return m_capacity; }

private:
    void add(double tokens)
    {
        m_tokens = std::min(m_capacity, m_tokens + tokens);
        m_mostTokens = std::max(m_mostTokens, m_tokens);
    }

    double m_tokensPerRequest;
    double m_capacity; ///< in tokens
    double m_tokens; ///< in the bucket
    double m_mostTokens = 0; ///< the most tokens in the bucket since it may be filled by requests only
    bool m_isGranted; ///< see setShare()
    std::uint64_t m_spent = 0; ///< see spent()
};

} // namespace crocusmount
