#pragma once

#include "relay/RelayEffect.h"

namespace crocusmount {

/// Where the relay hands over verdicts on requests that are to outlive this instance.
class QuarantineSink {
public:
    virtual ~QuarantineSink() = default;

    void quarantine(const relay::effect::QuarantineRequest& verdict) { onQuarantine(verdict); }
    void clear(const relay::effect::ClearRequest& cleared) { onClear(cleared); }

private:
    virtual void onQuarantine(const relay::effect::QuarantineRequest&) = 0;
    virtual void onClear(const relay::effect::ClearRequest&) = 0;
};

} // namespace crocusmount
