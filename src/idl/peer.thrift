namespace cpp crocusmount.wire

enum MemberState { ALIVE = 0, SUSPECT = 1, LEAVING = 2, DEAD = 3 }
enum MessageKind { PING = 0, ACK = 1, PING_REQUEST = 2, NEWS = 3 }

struct Member {
  1: string instance
  2: string peerAddress
  3: string callerAddress
  4: string dataCentre
  5: i64 incarnation
  6: MemberState state
  7: i64 revision
}

struct Backend {
  1: string id
  2: string model
  3: i32 layerBegin
  4: i32 layerEnd
  5: i64 generation
  6: i32 slots
  7: i64 stepMicros
  8: i32 running
  9: bool leaving
  10: bool reachable
  11: i64 sequence
  12: i64 ageMicros
}

// One datagram.
struct Message {
  1: MessageKind kind
  2: Member sender
  3: i64 sequence
  4: string target
  5: list<Member> updates
  6: list<Backend> backends
}

struct ConfigurationEntry {
  1: string key
  2: string value
  3: i64 modified
}

// Over TCP, each framed by a 32-bit big-endian length.
struct ConfigurationRequest {
  1: i64 since
}

struct ConfigurationReply {
  1: i64 base
  2: i64 revision
  3: list<ConfigurationEntry> entries
}

enum LoadScope { INSTANCE = 0, DATA_CENTRE = 1, FLEET = 2 }

// What calls hold on engines, in lists of the same length.
struct LoadReport {
  1: string sender
  2: string dataCentre
  3: i64 sequence
  4: LoadScope scope
  5: list<i64> engines
  6: list<i32> tokenLayers
  7: list<i32> calls
  8: i32 instances
  9: list<i32> avoiders
  // Keys of listed instances that their data centre does not hear.
  10: list<i64> silentInstances
  // Index of the slice of engines that the report covers, by key hash, and the number of slices; 0 slices means 1.
  11: i32 slice
  12: i32 slices
  // Instances whose new connections the engine answered lately; another list of the same length. Older senders omit it.
  13: list<i32> contacts
  // Keys of instances that reach no backend server, although others do.
  14: list<i64> cutOffInstances
}

// How far the sender's copy of the platform's store is.
struct StoreBeat {
  1: i64 revision
  2: i64 ageMs
  3: i64 lapseGraceMs
}

// In a whole copy, a deletion with a value is an entry that the sender keeps until its lapse grace ends.
struct StoreChange {
  1: string key
  2: string value
  3: i64 revision
  4: bool deleted
}

// All changes after one revision, up to another.
struct StoreChanges {
  1: i64 after
  2: i64 revision
  3: list<StoreChange> changes
}

// What makes two calls the same request.
struct RequestName {
  1: string workspace
  2: binary content
  // In soundRequests: keys of the servers that had ended before the run began.
  3: list<i64> refutedEnds
}

// The end of a server under a request.
struct CrashReport {
  1: RequestName request
  2: i64 server
  // Whether the server had only just begun to run it; else it waited there.
  3: bool justBegun
  // The parts of its prompt, in order.
  4: list<string> parts
  // Those that ran lately on the sender: 0 is the content, 2 n - 1 the n-th part in its workspace, 2 n in all.
  5: list<i32> ranLately
  // Time since the sender detected the end.
  6: i64 ageMicros
  // Time since the server was last known to be alive.
  7: i64 ageOfLifeMicros
}

// A part of the prompts of a workspace's requests, or of all.
struct PromptPartName {
  1: string workspace
  2: string part
  3: bool allWorkspaces
  4: list<i64> refutedEnds
}

// The rate of requests that a server accepts from all instances, and when that was seen.
struct ServerLimit {
  1: i64 server
  // Requests a second; missing: the server names no limit.
  2: optional double perSecond
  // Time since the attempt whose answer showed it; missing: never seen.
  3: optional i64 ageMicros
}

// Asks for permits to send requests to a server; count 0 only reports the limit.
struct PermitRequest {
  1: string sender
  2: i64 number
  3: i32 count
  4: ServerLimit limit
}

struct PermitAnswer {
  1: i64 number
  2: i32 granted
  3: i64 retryAfterMicros
  4: ServerLimit limit
}

// One datagram between entry instances on the platform.
struct RelayDatagram {
  1: optional LoadReport loads
  2: optional StoreBeat storeBeat
  3: optional StoreChanges storeChanges
  // Keys of engines that the sender's checks have just found dead.
  4: optional list<i64> deadEngines
  // Keys of engines that turned a call of the sender away though they have room.
  5: optional list<i64> closedEngines
  // Key of the sender, where it is about to end and takes no callers any more.
  6: optional i64 leavingInstance
  // Requests under which the sender saw servers end.
  7: optional list<CrashReport> crashes
  // Requests of these that the sender has seen run without crashing a server.
  8: optional list<RequestName> soundRequests
  // The receiver forwards storeChanges to the listed instances of its data centre with ids after its own, up to and
  // including this id.
  9: optional string forwardUntil
  // To the instance that coordinates a server's limit, and its answer.
  10: optional PermitRequest permitRequest
  11: optional PermitAnswer permitAnswer
  // The limit of a server has begun or ended.
  12: optional ServerLimit serverLimit
  // Parts of prompts of such requests that the sender has seen run without crashing a server.
  13: optional list<PromptPartName> soundParts
  // Like crashes, of servers that seemed to end together with others.
  14: optional list<CrashReport> groupCrashes
}
