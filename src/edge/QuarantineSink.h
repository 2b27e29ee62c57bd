#pragma once

#include "relay/RelayEffect.h"

namespace crocusmount {

/// Receives the relay's decisions to quarantine or clear a trait of requests, which must persist when this instance
/// ends.
class QuarantineSink {
public:
    virtual ~QuarantineSink() = default;

    void quarantine(const relay::effect::QuarantineTrait& verdict) { onQuarantine(verdict); }
    void clear(const relay::effect::ClearTrait& cleared) { onClear(cleared); }

private:
    virtual void onQuarantine(const relay::effect::QuarantineTrait&) = 0;
    virtual void onClear(const relay::effect::ClearTrait&) = 0;
};

} // namespace crocusmount
