@0xd4f1a3c0b7e95c21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("kingcupstair::rpc::wire");

# Messages between the hosts of the fleet.

interface Door {
  # Authenticates a connection. The only interface that a peer without the
  # fleet key can call.

  challenge @0 () -> (nonce :Data);
  # Returns a random value for the proof of one `enter`.

  enter @1 (caller :Caller, nonce :Data, proof :Data) -> (peer :Peer);
  # Returns the interface `Peer` if `proof` is the HMAC-SHA256 of the nonce and
  # the caller under the fleet key. A nonce is valid once.
}

struct Caller {
  # The connection that a host opens to another.

  host @0 :Text;
  incarnation @1 :UInt64;
  link @2 :UInt64;
  # Number of the connection, rising with each that the caller opens. Once a
  # connection with a higher number has entered, runs submitted over those with
  # lower numbers are refused.
}

interface Peer {
  # Calls between two hosts of the fleet. In comments, the sender is the host
  # that calls, and the receiver the host that is called.

  gossip @0 (message :Gossip) -> (message :Gossip);
  # Probes the receiver and exchanges updates.
  sync @1 (versions :List(Version)) -> (updates :List(HostUpdate), wanted :List(UInt64));
  # Compares the versions of all records. `updates` are the records that are
  # newer at the receiver; `wanted` are the hashes of the hosts whose records
  # are newer at the sender.
  probe @2 (host :Text) -> (reached :Bool);
  # Indirect probe: the receiver probes `host` and returns whether it replied.

  head @3 () -> (head :Text);
  # Returns the head of the receiver's configuration.
  chunks @4 (ids :List(Text)) -> (texts :List(Text));
  # Returns the chunks of the configuration text with these ids.

  lend @5 (shards :List(UInt16), mark :UInt64) -> (loans :List(Loan));
  # The sender, a pool host, borrows the receiver's share of the rate limits of
  # these shards, or renews the loans. `mark` is the loan sequence number.
  acquire @6 (organisation :Text, wanted :UInt32, relay :Bool, service :Text,
      offer :Offer, repeatedCalls :List(RepeatedCalls)) -> (grant :Grant);
  # Requests permits from the pool host. A receiver that is not the pool host
  # forwards the request to it if `relay` is set.
  giveBack @7 (shards :List(UInt16), leaving :Bool, mark :UInt64) -> ();
  # The sender, a pool host, returns loans to the receiver before they expire.
  # With `leaving`, the sender is shutting down.

  submit @8 (run :Run) -> (ticket :Ticket);
  # Runs a request in the slot that is reserved for it. Returns as soon as the
  # request is accepted; the ticket gives the outcome.
  resolve @9 (requestId :Text, incarnation :UInt64, inlineBytes :UInt32)
      -> (resolution :Resolution, ticket :Ticket);
  # Returns what became of an attempt. An attempt that the receiver has not
  # accepted, or not yet forwarded to its upstream, is fenced and never runs
  # there. `inlineBytes` is as in `Run`; `ticket` gives a body that is left out.

  reserve @10 (slot :SlotRequest) -> (answer :SlotAnswer);
  # Reserves a slot of an upstream for a request that follows at once.
  cancel @11 (requestId :Text, incarnation :UInt64) -> ();
  # Cancels an attempt whose result is not needed any more.

  retry @12 (organisation :Text, service :Text, uncounted :UInt32,
      repeatedCalls :List(RepeatedCalls)) -> (granted :Bool);
  # Requests one retry token from the pool host, which lets the sender send one
  # retry. `repeatedCalls`, here and in `acquire`, are counted in the retry
  # budgets.

  loanBlock @14 (clearance :UInt64) -> (token :UInt64, hosts :UInt64);
  # The sender, a pool host, asks why the receiver lends nothing. `token` is not
  # 0 while that is because it has restarted; `hosts` is a digest of the hosts
  # that could hold a loan of its former process, or 0 before the receiver knows
  # its share. `clearance` is the `token` of an earlier response if all these
  # hosts have since confirmed `dropLoans`, or else 0.
  dropLoans @13 (lenders :List(Text)) -> ();
  # The sender, a pool host, knows that these lenders have restarted. The
  # receiver drops the loans that it holds of them, also those on their way.
}

struct RepeatedCalls {
  # Calls that upstreams of a service made, and how many of them retries made.

  caller @0 :Text;
  service @1 :Text;
  count @2 :Float64;
  # Expected number of calls made by retries.
  calls @3 :Float64;
  # Number of all calls; 0 from hosts that do not tell.
}

struct SlotRequest {
  requestId @0 :Text;
  incarnation @1 :UInt64;
  organisation @2 :Text;
  upstream @3 :Text;
  priority @4 :UInt16;
  careful @5 :Bool;
  lastResort @6 :Bool;
  objectiveMicros @7 :UInt64;
  maxWaitMicros @8 :UInt64;
  timeLeftMicros @9 :UInt64;
  mostInFlight @10 :UInt16;
  internal @11 :Bool;
  namedRate @12 :Float64;
  # Limit that the sender last heard the upstream name; 0 for none. A receiver
  # that has restarted learns it from here.
  workClass @13 :UInt64;
  # Requests with the same number need about the same time to run; 0 if not
  # known.
  bodyBytes @14 :UInt64;
  # Size of the request's body.
}

struct SlotAnswer {
  granted @0 :Bool;
  refusal @1 :Refusal;
  report @2 :Upstream;
  load @3 :Load;
}

struct Gossip {
  host @0 :Text;
  digest @1 :UInt64;
  revision @2 :UInt64;
  updates @3 :List(HostUpdate);
  crashes @4 :List(Crash);
  recent @5 :List(RecentVersion);
  wanted @6 :List(UInt64);
  clearances @7 :List(Clearance);
  storeEra @8 :UInt64;
  loads @9 :List(HostLoad);
  # Only between hosts of one availability zone.
}

struct HostLoad {
  # Loads of the upstreams in the record of a host, in the order of the record.

  hostHash @0 :UInt64;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  sequence @3 :UInt32;
  loads @4 :List(UpstreamLoad);
}

struct UpstreamLoad {
  limit @0 :UInt16;
  errorPermille @1 :UInt16;
  failurePermille @2 :UInt16;
  latencyMicros @3 :UInt32;
  finished @4 :UInt64;
  namedRate @5 :Float64;
  remainingMicros @6 :UInt32;
}

struct RecentVersion {
  hostHash @0 :UInt64;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  liveness @3 :UInt8;
}

struct Version {
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  liveness @3 :UInt8;
}

struct HostUpdate {
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  liveness @3 :UInt8;
  leaving @4 :Bool;
  zone @5 :Text;
  region @6 :Text;
  admin @7 :Text;
  upstreams @8 :List(Upstream);
  # An entry without a service is the departure of an upstream: its id names the
  # start of the upstream that has left. No route leads to it.
  pools @9 :UInt32;
  loadSequence @10 :UInt32;
  rollbacks @11 :List(VersionRollback);
  # Versions that the host has rolled back.
}

struct VersionRollback {
  service @0 :Text;
  version @1 :Text;
}

struct Upstream {
  id @0 :Text;
  service @1 :Text;
  slots @2 :UInt16;
  limit @3 :UInt16;
  latencyMicros @4 :UInt32;
  errorPermille @5 :UInt16;
  finished @6 :UInt64;
  failurePermille @7 :UInt16;
  namedRate @8 :Float64;
  # Limit on new requests a second that the upstream has named; 0 for none.
  remainingMicros @9 :UInt32;
  # Expected time until a new request gets a slot; 0 if not known.
  version @10 :Text;
  # Version of the program that the upstream runs; may be empty.
}

struct Crash {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
  ageMillis @2 :UInt32;
}

struct Clearance {
  fingerprint @0 :UInt64;
  ageMillis @1 :UInt32;
  upstream @2 :Text;
}

struct Loan {
  fraction @0 :Float64;
  lifeMicros @1 :UInt64;
}

struct Offer {
  mark @0 :UInt64;
  shards @1 :UInt32;
  # Bit n stands for shard n.
  loan @2 :Loan;
}

struct Grant {
  granted @0 :UInt32;
  retryAfterMicros @1 :UInt64;
  lifeMicros @2 :UInt64;
  fraction @3 :Float64;
  poolsNothing @4 :Bool;
  poolSilent @5 :Bool;
  mark @6 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Run {
  requestId @0 :Text;
  incarnation @1 :UInt64;
  # Incarnation of the receiver to which the request is sent. Another
  # incarnation refuses the request.
  organisation @2 :Text;
  upstream @3 :Text;
  fingerprint @4 :UInt64;
  repeatable @5 :Bool;
  timeLeftMicros @6 :UInt64;
  method @7 :Text;
  target @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  dedupeKey @11 :Text;
  objectiveMicros @12 :UInt64;
  callerService @13 :Text;
  repeatProbability @14 :Float64;
  workClass @15 :UInt64;
  # As in SlotRequest.
  inlineBytes @16 :UInt32;
  # A response body of this size or less comes with the outcome; a longer one is
  # left out. 0 if the sender takes any body with the outcome.
}

interface Ticket {
  outcome @0 () -> (outcome :Outcome, report :Upstream, load :Load);

  bodyPart @1 (offset :UInt64, size :UInt32) -> (bytes :Data);
  # Returns a part of a response body that was left out of the outcome. The
  # receiver keeps the body no longer than the request may take.
}

struct Load {
  inFlight @0 :UInt32;
  queued @1 :UInt32;
}

struct Outcome {
  union {
    ran @0 :Response;
    notRun @1 :Refusal;
    unknown @2 :UnknownOutcome;
  }
}

struct Response {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  leftOutBytes @3 :UInt64;
  # Size of a body that is left out; 0 if `body` is whole.
}

struct Refusal {
  reason @0 :UInt8;
  retryAfterMicros @1 :UInt64;
}

struct UnknownOutcome {
  detail @0 :Text;
  upstreamBroke @1 :Bool;
  cancelled @2 :Bool;
}

struct Resolution {
  union {
    outcome @0 :Outcome;
    running @1 :Void;
    otherIncarnation @2 :Void;
  }
}
