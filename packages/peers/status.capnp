# Datagrams between entries and agents: state that is sent again and again, so
# that a lost message costs only time, and adapter loads, which are answered.
@0xb1c4c7f0d2a95e37;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bambooquay::status");

struct Spending {
  organisation @0 :Text;
  tokens @1 :Float64;
}

struct Demand {
  service @0 :Text;
  model @1 :Text;
  requestsPerSecond @2 :Float32;
  promptTokensPerSecond @3 :Float32;
}

# Sent by each entry to the other entries.
struct EntryStatus {
  leaving @0 :Bool;
  configuration @1 :UInt64;
  spending @2 :List(Spending);
  demand @3 :List(Demand);
  uptimeSeconds @4 :Float64;
}

# Sent by each entry to each agent; the models are set only by the entry that
# plans placement.
struct EngineTarget {
  upstream @0 :Text;
  planned @1 :Bool;
  models @2 :List(Text);
}

struct HeldModel {
  name @0 :Text;
  adapters @1 :List(Text);
}

# Sent by each agent to each entry that it hears from.
struct EngineStatus {
  upstream @0 :Text;
  bornMs @1 :Int64;
  busy @2 :Bool;
  draining @3 :Bool;
  running @4 :UInt32;
  waiting @5 :UInt32;
  kvUsed @6 :Float64;
  models @7 :List(HeldModel);
  onDisk @8 :List(Text);
  inHostMemory @9 :List(Text);
  # Number of the lists above; a brief message names them without sending them.
  lists @10 :UInt64;
  brief @11 :Bool;
}

struct AdapterRequest {
  number @0 :UInt64;
  upstream @1 :Text;
  model @2 :Text;
  adapter @3 :Text;
}

struct AdapterReply {
  number @0 :UInt64;
  loaded @1 :Bool;
}

struct PermitRequest {
  number @0 :UInt64;
  upstream @1 :Text;
}

struct PermitReply {
  number @0 :UInt64;
  granted @1 :Bool;
  waitSeconds @2 :Float64;
}

struct Message {
  sender @0 :Text;
  incarnation @1 :UInt64;
  union {
    entry @2 :EntryStatus;
    target @3 :EngineTarget;
    engine @4 :EngineStatus;
    adapterRequest @5 :AdapterRequest;
    adapterReply @6 :AdapterReply;
    permitRequest @7 :PermitRequest;
    permitReply @8 :PermitReply;
  }
}
