# Messages between an entry and the one that schedules a service's calls, and of copies
# of the store's rows. Fields are only ever added, with the next number.
@0xe5b60a1d7c3f9482;

struct Message {
  union {
    place @0 :Place;
    placed @1 :Placed;
    waiting @2 :UInt64;          # number of a call that waits for its turn
    refused @3 :Refused;
    outcome @4 :Outcome;
    withdrawn @5 :UInt64;        # number of a call whose caller left
    copyQuery @6 :Void;
    copy @7 :Copy;
  }
}

struct Place {
  number @0 :UInt64;             # of this question, on this connection
  callId @1 :Text;
  service @2 :Text;
  route @3 :Route;
  readAt @4 :Text;               # engine that has read the prompt; empty before
  hasPrompt @5 :Bool;
  inputTokens @6 :UInt32;
  outputTokens @7 :UInt32;
  parts @8 :List(Part);
  elapsedMs @9 :Float32;
  leftMs @10 :Float32;
  zone @11 :Text;                # of the asking entry
  tried @12 :List(Text);
  repeats @13 :Bool;             # sent before: takes one of the service's repeats
  attempts @14 :UInt16;
  promptsRead @15 :UInt16;
}

struct Route {
  name @0 :Text;
  kind @1 :Text;
  objectiveMs @2 :Float32;
  pauseMs @3 :Float32;           # negative for none
  attemptsMax @4 :UInt16;
  resumable @5 :Bool;
  priority @6 :UInt16;
}

struct Part {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct Placed {
  number @0 :UInt64;
  reading @1 :Choice;            # without an upstream where nothing is read apart
  running @2 :Choice;
  favoured @3 :Bool;
  repeatsLeft @4 :UInt32;
  rate @5 :Float32;              # tokens that an engine reads in a second
}

struct Choice {
  upstream @0 :Text;
  costMs @1 :Float32;
  tokens @2 :UInt32;
  fetchFrom @3 :Text;
  requests @4 :UInt32;
  promptTokens @5 :UInt32;
  pace @6 :Float32;
  holding @7 :UInt8;
  heldTokens @8 :UInt32;         # of the shared parts, where not all are held
}

struct Refused {
  number @0 :UInt64;
  kind @1 :Text;                 # of the error; empty where no upstream can be named
  detail @2 :Text;
  retryAfterMs @3 :UInt32;       # 0 for none
}

struct Outcome {
  number @0 :UInt64;
  cause @1 :Text;
  elapsedMs @2 :Float32;
  firstMs @3 :Float32;           # negative for none
  isBusy @4 :Bool;
  waitMs @5 :UInt32;             # how long the upstream asked to be left alone
  isLeaving @6 :Bool;
  isDown @7 :Bool;
  hasLoad @8 :Bool;              # the upstream told its load
  running @9 :UInt32;
  waitingRequests @10 :UInt32;
  slots @11 :UInt32;
}

struct Copy {
  upstreams @0 :Data;
  configuration @1 :Data;
  version @2 :UInt64;
}
