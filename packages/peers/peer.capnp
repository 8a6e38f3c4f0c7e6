# The RPC protocol between the processes of the system. Every process serves a
# Node, as the bootstrap interface, at its peer address.
@0xb3f7a1c92d5e4860;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bambooquay::rpc");

# The newest version that a process has of each kind of document, in the order
# of DocumentKind; 0: none.
struct Versions {
  numbers @0 :List(UInt64);
}

# One attempt to run a caller's request on an upstream.
struct Work {
  id @0 :Text;
  organisation @1 :Text;
  key @2 :Text;
  service @3 :Text;
  model @4 :Text;
  adapter @5 :Text;
  method @6 :Text;
  target @7 :Text;
  contentType @8 :Text;
  body @9 :Data;
  traceparent @10 :Text;
  priority @11 :UInt8;
  timeLeftNs @12 :Int64;    # until the caller's deadline; 0: no deadline
  idempotent @13 :Bool;
  allowanceEpoch @14 :UInt64;
  reservedTokens @15 :Float64;
  agent @16 :Text;          # incarnation that may run the work; empty: any
}

# How an attempt ended, and the load of the agent at that time.
struct Result {
  outcome @0 :UInt8;
  refusal @1 :UInt8;
  message @2 :Text;
  usedTokens @3 :Float64;
  retryAfterNs @4 :Int64;
  inFlight @5 :UInt32;
  queued @6 :UInt32;
  limit @7 :UInt32;
}

# Moves a share of one organisation's allowance from one entry to another. The
# giver numbers its transfers to each receiver. The receiver applies them in
# order, each of them once.
struct Transfer {
  sequence @0 :UInt64;     # 0: nothing was transferred yet
  epoch @1 :UInt64;
  fraction @2 :Float64;    # of the organisation's rate and burst, 0 to 1
  level @3 :Float64;       # tokens that move with the share
  giver @4 :Text;          # the giver's incarnation
}

# Asks the giver for a share of an organisation's allowance. It also
# acknowledges the transfers up to lastApplied.
struct AllowanceAsk {
  organisation @0 :Text;
  asker @1 :Text;          # the asker's incarnation
  epoch @2 :UInt64;
  lastApplied @3 :UInt64;  # sequence of the last transfer applied
  need @4 :Float64;        # tokens needed immediately
  demand @5 :Float64;      # recent demand, in tokens per second
  held @6 :Float64;        # fraction that the asker has, 0 to 1
  giver @7 :Text;          # the giver's incarnation; empty: not known
}

# Receives the response of work while it runs.
interface ResponseSink {
  head @0 (status :UInt16, contentType :Text) -> ();
  # Returns when the bytes have been sent to the caller. While too many bytes
  # are outstanding, the agent stops reading from the upstream.
  part @1 (bytes :Data) -> ();
}

interface Node {
  # Heartbeat and gossip: each side tells the other which versions of the
  # documents it has. `load` is set by agents only.
  exchange @0 (known :Versions) -> (known :Versions, incarnation :Text, load :Result);
  # Returns the newest version that the process has; version 0 if it has none.
  fetchDocument @1 (kind :UInt8) -> (version :UInt64, text :Text);

  # Implemented by agents. Dropping the call cancels the work. `parts` is the
  # number of calls made on the sink. The entry has the whole response when it
  # has received that many.
  execute @2 (work :Work, sink :ResponseSink, known :Versions) -> (result :Result, parts :UInt64);
  # Implemented by agents. Returns the state of an attempt that was sent to the
  # given incarnation of the agent. If that incarnation has not started the
  # attempt, it refuses the request id from then on, so that the attempt never
  # runs. Another incarnation cannot tell whether the attempt has run.
  settle @3 (id :Text, incarnation :Text) -> (state :UInt8, result :Result, status :UInt16, contentType :Text, body :Data);
  # Implemented by agents. Work with an older allowance epoch is refused from
  # then on.
  fence @4 (epoch :UInt64) -> ();

  # Implemented by entries. Returns the share that the callee gives away.
  askAllowance @5 (ask :AllowanceAsk) -> (transfer :Transfer);
}
