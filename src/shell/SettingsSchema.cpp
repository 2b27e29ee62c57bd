#include "shell/SettingsSchema.h"

namespace crocusmount {

const char* const settingsSchema = R"JSON({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "dataCentre", "listen", "peerListen", "store"],
  "properties": {
    "instance": { "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$" },
    "dataCentre": { "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$" },
    "listen": { "$ref": "#/definitions/address" },
    "peerListen": { "$ref": "#/definitions/address" },
    "store": { "type": "array", "minItems": 1, "items": { "$ref": "#/definitions/address" } },
    "instanceList": { "$ref": "#/definitions/address" },
    "seeds": { "type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["instance", "dataCentre", "callers", "peers"],
      "properties": {
        "instance": { "type": "string", "minLength": 1 },
        "dataCentre": { "type": "string", "minLength": 1 },
        "callers": { "$ref": "#/definitions/address" },
        "peers": { "$ref": "#/definitions/address" } } } },
    "operatorTokenSha256": { "type": "array", "items": { "type": "string", "pattern": "^[0-9a-f]{64}$" } },
    "http": { "type": "object", "additionalProperties": false, "properties": {
      "headerBytes": { "type": "integer", "minimum": 1024, "maximum": 1048576 },
      "bodyBytes": { "type": "integer", "minimum": 1024, "maximum": 67108864 },
      "readTimeoutMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
      "writeTimeoutMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
      "idleTimeoutMs": { "type": "integer", "minimum": 10, "maximum": 3600000 },
      "connections": { "type": "integer", "minimum": 1, "maximum": 1000000 },
      "memoryMb": { "type": "integer", "minimum": 16, "maximum": 16777216 } } },
    "routing": { "type": "object", "additionalProperties": false, "properties": {
      "picker": { "enum": ["flow", "random", "round_robin", "least_reported", "power_of_two"] },
      "streamHeadroom": { "type": "number", "minimum": 0.1, "maximum": 10 },
      "hopLatencyUs": { "type": "integer", "minimum": 1, "maximum": 1000000 },
      "probeIntervalMs": { "type": "integer", "minimum": 10, "maximum": 60000 },
      "unreachableAfter": { "type": "integer", "minimum": 1, "maximum": 100 },
      "reportLifetimeMs": { "type": "integer", "minimum": 100, "maximum": 600000 },
      "recoveryRampMs": { "type": "integer", "minimum": 1, "maximum": 600000 },
      "subsetPerGroup": { "type": "integer", "minimum": 0, "maximum": 10000 },
      "shareIntervalMs": { "type": "integer", "minimum": 10, "maximum": 60000 },
      "watchersPerBackend": { "type": "integer", "minimum": 1, "maximum": 1000 } } },
    "requests": { "type": "object", "additionalProperties": false, "properties": {
      "queueLimit": { "type": "integer", "minimum": 1, "maximum": 1000000 },
      "maxAttempts": { "type": "integer", "minimum": 1, "maximum": 100 },
      "retryRatio": { "type": "number", "minimum": 0, "maximum": 1 },
      "retryBurst": { "type": "number", "minimum": 1, "maximum": 100000 },
      "minStallMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
      "firstTokenStallMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
      "stallFactor": { "type": "number", "minimum": 1, "maximum": 1000 },
      "answerMemoryMs": { "type": "integer", "minimum": 0, "maximum": 86400000 },
      "answerMemoryLimit": { "type": "integer", "minimum": 0, "maximum": 1000000 } } },
    "claims": { "type": "object", "additionalProperties": false, "properties": {
      "shards": { "type": "integer", "minimum": 1, "maximum": 4096 },
      "timeoutMs": { "type": "integer", "minimum": 10, "maximum": 60000 },
      "lingerMs": { "type": "integer", "minimum": 0, "maximum": 1000 },
      "retentionMs": { "type": "integer", "minimum": 1000, "maximum": 604800000 } } },
    "membership": { "type": "object", "additionalProperties": false, "properties": {
      "gossipIntervalMs": { "type": "integer", "minimum": 10, "maximum": 60000 },
      "ackTimeoutMs": { "type": "integer", "minimum": 5, "maximum": 60000 },
      "suspicionTimeoutMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
      "followersPerDataCentre": { "type": "integer", "minimum": 1, "maximum": 100 },
      "isolationLimitMs": { "type": "integer", "minimum": 100, "maximum": 86400000 },
      "entryLifetimeMs": { "type": "integer", "minimum": 0, "maximum": 600000 } } },
    "log": { "type": "object", "additionalProperties": false, "properties": {
      "format": { "enum": ["json", "text"] },
      "level": { "enum": ["debug", "info", "warn", "error"] } } }
  },
  "definitions": {
    "address": { "type": "string", "pattern": "^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}$" }
  }
})JSON";

} // namespace crocusmount
