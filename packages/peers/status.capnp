# Datagrams between entries and agents. Status messages are sent periodically,
# so that the loss of one only delays an update. Requests to load an adapter and
# requests for a cold permit get a reply.
@0xb1c4c7f0d2a95e37;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bambooquay::status");

# Tokens that an organisation has spent at the sending entry since it started.
struct Spending {
  organisation @0 :Text;
  tokens @1 :Float64;
}

# Demand of callers for one model.
struct Demand {
  service @0 :Text;
  model @1 :Text;
  requestsPerSecond @2 :Float32;
  promptTokensPerSecond @3 :Float32;
  # Rate at which engines read prompts of the model, in tokens per millisecond;
  # 0 if the sender does not know it.
  readingRate @4 :Float32;
}

# Calls with these parts broke as their upstream ended. Ages are those at the time
# of sending.
struct PartCrash {
  parts @0 :List(UInt64);
  upstreamRun @1 :UInt64;  # identifies the upstream and its start
  begunAgeMs @2 :UInt32;
  crashAgeMs @3 :UInt32;
  # From its first event until the call broke, and 1; 0: it had sent no event.
  progressMs @4 :UInt32;
  certain @5 :Bool;        # the run of the upstream is known to have ended
}

# A call with this part has sent an event, or its whole response.
struct PartSurvival {
  part @0 :UInt64;
  begunAgeMs @1 :UInt32;
  lastedMs @2 :UInt32;      # since its first event
}

# Prompts with this part are not sent to upstreams.
struct PartQuarantine {
  part @0 :UInt64;
  round @1 :UInt32;         # quarantines in a row
  lastCrashAgeMs @2 :UInt32;
  leftMs @3 :Int32;         # negative once it has expired
  # Parts that may be the cause instead. Prompts without one of them are allowed.
  companions @4 :List(UInt64);
  progressMs @5 :UInt32;    # of its crashes, as in PartCrash
  # Since a trial began at the sender, and 1; 0: none is under way.
  trialAgeMs @6 :UInt32;
}

# Calls per second that an upstream takes from all entries together, by one of
# its responses.
struct CallLimit {
  upstream @0 :Text;
  bornMs @1 :Int64;     # start of the upstream's run, Unix time in ms
  perSecond @2 :Float64;  # 0: the upstream has stopped to name a limit
  ageMs @3 :UInt32;     # age of the response at the time of sending
}

# A software version of a service that has several, or that shares the streams of
# its routes with another service.
struct StreamVersion {
  service @0 :Text;
  version @1 :Text;
  listedAgeMs @2 :UInt32;   # since an upstream of this version was last listed
  streams @3 :List(UInt64);  # begun by it, and in progress at the sender
  # If the service shares streams with another one, 1 + the time since that one
  # last got some; else 0.
  sharedAgeMs @4 :UInt32;
}

# Sent by each entry to the other entries.
struct EntryStatus {
  leaving @0 :Bool;          # the entry is draining before it stops
  configuration @1 :UInt64;  # version that the entry applies; 0: none
  spending @2 :List(Spending);
  demand @3 :List(Demand);
  uptimeSeconds @4 :Float64;
  dataCentre @5 :Text;
  # Version of the newest change that the sender knows of in the operators'
  # table; 0 if it does not say.
  operatorsVersion @6 :UInt64;
  partCrashes @7 :List(PartCrash);
  partSurvivals @8 :List(PartSurvival);
  partQuarantines @9 :List(PartQuarantine);
  callLimits @10 :List(CallLimit);
  streamVersions @11 :List(StreamVersion);
  # Identifies which services get the streams of which routes; 0 if the sender
  # does not say.
  streamRoutes @12 :UInt64;
}

# Sent by each entry to each agent. `models` is valid only if `planned` is set,
# which only the entry that plans placement does.
struct EngineTarget {
  upstream @0 :Text;
  planned @1 :Bool;
  models @2 :List(Text);
  reportPeriodMs @3 :UInt32;  # between two reports to the sender; 0: send all
}

# A model that an engine has loaded, with the adapters loaded for it.
struct HeldModel {
  name @0 :Text;
  adapters @1 :List(Text);
}

# What an engine works on and how fast, as its agent estimates it.
struct EngineWork {
  promptTokensPerMs @0 :Float32;  # 0: not known yet
  eventIntervalMs @1 :Float32;    # between two events of a stream; 0: not known
  unreadTokens @2 :Float32;       # prompt tokens accepted and not read yet
  streams @3 :UInt16;             # runs that have sent an event
  slowness @4 :Float32;           # against the engine's own best; 1: as fast
  # Shared parts of prompts that were announced a moment ago, with their tokens.
  readPrefixes @5 :List(PromptPrefix);
  memoryTokens @6 :Float32;       # KV cache, in tokens; 0: not known
  waitingTokens @7 :Float32;      # prompt tokens that wait for room
}

# Sent by each agent to each entry from which it receives targets.
struct EngineStatus {
  upstream @0 :Text;
  bornMs @1 :Int64;     # start of the engine, Unix time in ms
  busy @2 :Bool;        # a load or unload order is in progress
  draining @3 :Bool;
  running @4 :UInt32;
  waiting @5 :UInt32;
  kvUsed @6 :Float64;
  models @7 :List(HeldModel);
  onDisk @8 :List(Text);
  inHostMemory @9 :List(Text);
  # Version of the lists of models above; it changes whenever they do.
  lists @10 :UInt64;
  # Whether the lists are omitted. They are then the same as in the last message
  # that included them with this version.
  brief @11 :Bool;
  work @12 :EngineWork;  # absent if the agent does not estimate work
}

# Asks an agent to load an adapter. The reply has the same number.
struct AdapterRequest {
  number @0 :UInt64;
  upstream @1 :Text;
  model @2 :Text;
  adapter @3 :Text;
}

# `loaded` is set if the engine has the adapter.
struct AdapterReply {
  number @0 :UInt64;
  loaded @1 :Bool;
}

# Asks for permission to send one request to an upstream that is cold or names a
# call limit: the agent of an engine, or the entry that issues the permits for a
# plain service. The reply has the same number.
struct PermitRequest {
  number @0 :UInt64;
  upstream @1 :Text;
  warm @2 :Bool;         # the upstream is not cold
  callLimit @3 :Float64; # calls per second; 0: none
}

struct PermitReply {
  number @0 :UInt64;
  granted @1 :Bool;
  waitSeconds @2 :Float64;  # time until another request may be granted
}

# Asks the agent of an engine for room for one call. The agent replies when there
# is room, or when there will be none in time. The reply has the same number.
struct RoomRequest {
  number @0 :UInt64;
  upstream @1 :Text;
  call @2 :Text;             # id of the caller's request
  promptTokens @3 :UInt32;
  unreadTokens @4 :UInt32;   # of these, those that the engine has to read
  priority @5 :UInt8;        # 0 is the most urgent
  maxWaitMs @6 :UInt32;      # 0: only announces the call, which is sent at once
  outputTokens @7 :UInt32;   # estimate
  organisation @8 :Text;
  targetWaitMs @9 :UInt32;   # time left until the call's first event is late
  prompt @10 :List(PromptPrefix);  # in order
}

# The leading parts of a prompt, up to and including one of them.
struct PromptPrefix {
  hash @0 :UInt64;
  tokens @1 :UInt32;         # of its last part
}

struct RoomReply {
  number @0 :UInt64;
  granted @1 :Bool;
  waitMs @2 :Float32;        # time until room is expected, if not granted
  queued @3 :Bool;           # another reply follows
}

# The call does not use its room, or not any longer.
struct RoomRelease {
  upstream @0 :Text;
  call @1 :Text;
  begun @2 :Bool;            # the call has sent its first event
}

# Sent by the entry that holds the duties to the other entries.
struct DutyNotice {
  fencingToken @0 :UInt64;
  rowVersion @1 :UInt64;      # of the lease's row, after its last write
  released @2 :Bool;
  settledThrough @3 :UInt64;  # newest window whose usage is settled; 0: none
}

struct RunCount {
  organisation @0 :Text;
  count @1 :UInt32;
}

# Requests that upstreams began to run in one window, by the sender's calls.
# Sent to the holder of the duties, and again until it confirms the final counts.
struct UsageCounts {
  window @0 :UInt64;
  final @1 :Bool;             # the window is over, or the sender stops
  counts @2 :List(RunCount);
}

# The holder has the sender's final counts of a window.
struct UsageReceipt {
  window @0 :UInt64;
  fencingToken @1 :UInt64;
}

struct Message {
  sender @0 :Text;           # instance id
  incarnation @1 :UInt64;    # identifies one run of the sender's process
  union {
    entry @2 :EntryStatus;
    target @3 :EngineTarget;
    engine @4 :EngineStatus;
    adapterRequest @5 :AdapterRequest;
    adapterReply @6 :AdapterReply;
    permitRequest @7 :PermitRequest;
    permitReply @8 :PermitReply;
    roomRequest @9 :RoomRequest;
    roomReply @10 :RoomReply;
    roomRelease @11 :RoomRelease;
    dutyNotice @12 :DutyNotice;
    usageCounts @13 :UsageCounts;
    usageReceipt @14 :UsageReceipt;
  }
}
