#pragma once

#include "relay/RelayEffect.h"

namespace crocusmount {

/// Receives the relay's decisions to quarantine or clear a request, which must persist when this instance ends.
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
