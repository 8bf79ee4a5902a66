//! Events of the gateway role.

use types::{ErrorCode, InstanceId, RequestId, UpstreamName, Verdict};

use super::macros::events;

events! {
    /// Events of the gateway role.
    GatewayEvent {
        5000 Info GatewayListening {
            /// Id of this process.
            instance: InstanceId,
            /// Availability zone of this process.
            zone: String,
            /// Address on which callers connect.
            addr: String,
            /// Address of the operator endpoints.
            operator_addr: String,
            /// Address of the platform's store.
            store_addr: String,
        } = "The gateway has started; it becomes ready when it has received a configuration and the instances.", "Nothing.";
        5001 Info RequestPlaced {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Name of the route.
            route: std::sync::Arc<str>,
            /// Name of the upstream.
            upstream: UpstreamName,
            /// Id of the chosen instance.
            instance: InstanceId,
            /// Priority sent to the instance, 255 for the highest.
            priority: u8,
            /// Predicted time to the first event, in milliseconds.
            predicted_ms: u64,
            /// Prompt tokens expected in the prefix cache of the instance.
            cached_tokens: u32,
            /// Prompt length in tokens.
            prompt_tokens: u32,
            /// Hash of the shared parts of the prompt, 0 without shared parts. Prompts
            /// with the same hash have the same order of preferred instances.
            prefix: u64,
            /// Tokens in the shared parts of the prompt.
            shared_tokens: u32,
            /// Target of the class for the time to the first event, in milliseconds.
            target_ms: u32,
            /// Rank of the instance among the preferred instances of the prompt's
            /// prefix, from 0.
            home_rank: usize,
            /// Requests of this gateway in flight at the instance.
            in_flight: u32,
            /// Time left until the deadline, in milliseconds.
            remaining_ms: u64,
            /// Version of the configuration that routed the request.
            config_version: u64,
            /// Revision of the roster that the instance was chosen from.
            roster_revision: u64,
            /// Time since the platform last confirmed the roster, in milliseconds.
            roster_age_ms: u64,
        } = "An instance was chosen for an attempt.", "Nothing.";
        5002 Info RequestAnswered {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// HTTP status of the response.
            status: u16,
            /// Number of attempts made.
            attempts: u32,
            /// Events delivered to the caller.
            events: u32,
            /// Time to the first event or the complete response, in milliseconds.
            first_ms: u64,
            /// Time to the end of the response, in milliseconds.
            total_ms: u64,
            /// Longest pause between two events of a stream, in milliseconds.
            longest_pause_ms: u64,
            /// Longest pause that the class allows, in milliseconds; 0 if the response
            /// is not a stream.
            pause_target_ms: u32,
        } = "A complete response was delivered.", "Nothing.";
        5003 Warn AttemptBroke {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Id of the instance that the attempt was sent to.
            instance: InstanceId,
            /// Description of the failure.
            reason: String,
            /// Whether this attempt may have run.
            verdict: Verdict,
            /// Time since the attempt was sent, in milliseconds.
            after_ms: u64,
            /// Id of the last event delivered, 0 for none.
            last_event: u64,
            /// How far the attempt got: `unsent`, `sent`, `head` for a response head
            /// without an event, or `events`.
            progress: &'static str,
            /// Ids of the prompt parts that other requests may share, in order.
            parts: String,
        } = "An attempt failed.", "Investigate the instance if it fails often.";
        5004 Info RequestTurnedAway {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// Error code of the response.
            code: ErrorCode,
            /// Whether the request may have run.
            verdict: Verdict,
            /// Reason for the error.
            reason: String,
            /// Recommended delay before a retry, in milliseconds; 0 for none.
            retry_after_ms: u64,
            /// Time since the request was received, in milliseconds.
            total_ms: u64,
            /// Version of the active configuration.
            config_version: u64,
        } = "The gateway answered a request with its own error response.",
            "Many `no_upstream` or `queue_full` errors indicate that demand exceeds capacity, `upstream_failed` indicates faulty instances.";
        5005 Warn AnswerCut {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// Description of the failure.
            reason: String,
            /// Number of attempts made.
            attempts: u32,
            /// Events delivered before the stream ended.
            events: u32,
            /// Time since the request was received, in milliseconds.
            total_ms: u64,
        } = "A stream was aborted after its response had started.",
            "Find the failed attempt by the request id.";
        5006 Info CallerLeft {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// Events delivered before the stream ended.
            events: u32,
            /// Time since the request was received, in milliseconds.
            total_ms: u64,
        } = "The caller disconnected; the upstream request was cancelled.", "Nothing.";
        5007 Info HeadRejected {
            /// Error code of the response.
            code: ErrorCode,
            /// Bytes of the head that were received.
            received_bytes: usize,
            /// Responses that were begun on the connection before.
            responses_before: u32,
        } = "A request head was rejected before it was complete; the connection was closed after the response.",
            "Many indicate callers that exceed the limits, or that stall.";
        5010 Info RoutingInForce {
            /// Version that is now active.
            version: u64,
            /// Previously active version, 0 for none.
            before: u64,
            /// Store revision at which the configuration was received.
            revision: u64,
            /// Number of routes in the configuration.
            routes: usize,
        } = "This process applied a newer configuration.", "Nothing.";
        5011 Info RosterChanged {
            /// Revision of the updated roster.
            roster_revision: u64,
            /// Store revision at which the change was received; 0 if instances were
            /// removed because their entries had been missing for the grace period.
            revision: u64,
            /// Number of instances in the roster.
            known: usize,
            /// Number of instances that may receive requests.
            usable: usize,
        } = "The set of instances that may receive requests has changed.", "Nothing.";
        5012 Warn FeedLost {
            /// Part of the platform's store that the gateway watches: routing or roster.
            feed: String,
            /// Error of the failed call.
            reason: String,
        } = "The platform's store does not respond; the last received state stays in use.",
            "Check the platform's status.";
        5013 Info FeedRegained {
            /// Part of the platform's store that the gateway watches: routing or roster.
            feed: String,
            /// Time without a response, in milliseconds.
            lost_ms: u64,
        } = "The platform's store responds again.", "Nothing.";
        5014 Warn EntryUnreadable {
            /// Part of the platform's store that the gateway reads, such as routing, roster or
            /// usage-windows.
            feed: String,
            /// Name of the object that could not be decoded, or path of the part.
            name: String,
            /// Description of the decoding error.
            reason: String,
        } = "An object in the platform's store, or a part of one, could not be decoded and is out of force.",
            "Find out which program wrote the object.";
        5015 Info OlderRoutingIgnored {
            /// Version that the store returned.
            version: u64,
            /// Version that stays active.
            in_force: u64,
        } = "The store returned an older configuration than the active one, which is kept.", "Nothing, unless it persists.";
        5016 Info InstanceProbed {
            /// Id of the probed instance.
            instance: InstanceId,
            /// Connection error, empty if the instance is reachable.
            error: String,
        } = "An instance that sent nothing while responses were outstanding was probed with a new connection.",
            "Investigate the instance if it is unreachable.";
        5017 Info ShortLaneMoved {
            /// Name of the upstream.
            upstream: UpstreamName,
            /// Number of instances that accept no long prompts from now on.
            short_instances: usize,
            /// Previous value of `short_instances`.
            before: usize,
            /// Total number of instances of the upstream.
            instances: usize,
            /// Recent gaps between events in streams of short prompts, in percent of
            /// the gap that their class allows.
            pause_percent: u32,
        } = "The number of instances that this gateway reserves for short prompts has changed.",
            "Nothing; many reserved instances with few short prompts indicate slow instances.";
        5020 Info GatewayDrainBegun {
            /// Id of this process.
            instance: InstanceId,
            /// Requests in flight when the drain started.
            in_flight: u32,
        } = "The gateway started a graceful shutdown.", "Nothing.";
        5021 Info GatewayStopped {
            /// Id of this process.
            instance: InstanceId,
            /// Requests that were still in flight.
            in_flight: u32,
        } = "The gateway exits.", "Nothing; requests still in flight were aborted at the end of the grace period.";
        5022 Info SettingsReread {
            /// Whether a signal triggered the reload.
            signalled: bool,
            /// Whether a setting has changed.
            changed: bool,
            /// Error in the file, empty if it is valid.
            error: String,
        } = "The settings file was reloaded; an invalid file changes nothing.",
            "Correct the file if there is an error.";
        5023 Info WatchAbandoned {
            /// Part of the platform's store that the gateway watches: routing or roster.
            feed: String,
            /// Store revision after which changes were awaited.
            after: u64,
            /// What a check beside the watch found.
            reason: String,
        } = "A watch was given up because a check beside it failed or found changes that the watch did not deliver.",
            "Check the connection to the platform's store if it happens often.";
        5024 Warn InstanceEnded {
            /// Id of the instance.
            instance: InstanceId,
            /// Incarnation that ended.
            incarnation: u64,
            /// Prompt parts and whole requests that were waiting there for a first event.
            suspects: usize,
        } = "An instance ended with requests of this gateway in progress.",
            "Look for `SuspectQuarantined`; without it, investigate the instance.";
        5025 Warn SuspectQuarantined {
            /// Position and id of the prompt part, or `content` and the digest of a whole
            /// request.
            suspect: String,
            /// Ends of instances that count against it.
            ends: usize,
        } = "Requests with this prompt part or content are refused from now on because instances ended when they began to answer them.",
            "Find the requests by `AttemptBroke` with this part, and the fault of the upstream's software.";
        5026 Info SuspectReleased {
            /// The suspect, as in `SuspectQuarantined`.
            suspect: String,
        } = "Requests with this prompt part or content are accepted again: a request was answered, another suspect explains the ends, or the evidence has expired.", "Nothing.";
        5027 Info SuspectTried {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// The suspect, as in `SuspectQuarantined`.
            suspect: String,
            /// Ends of instances that count against it.
            ends: usize,
        } = "One request with a quarantined prompt part or content is sent to see whether it still crashes instances.", "Nothing.";
        5028 Info ReportPublished {
            /// Ends of instances in the report.
            ends: usize,
            /// Limits of instances in the report.
            limits: usize,
        } = "The gateway wrote its report for other gateways to the platform's store.", "Nothing.";
        5029 Warn ReportNotPublished {
            /// Error of the store.
            reason: String,
        } = "The report for other gateways could not be written; it is retried.",
            "Check the connection to the platform's store.";
        5030 Info InstanceLimitNamed {
            /// Request id whose response named the limit.
            request_id: RequestId,
            /// Id of the instance.
            instance: InstanceId,
            /// Requests per second from all gateways together, in thousandths.
            limit_milli_per_s: u64,
        } = "An instance has named a limit, or another one, on the requests that it takes.",
            "Investigate the instance: it is short of resources.";
        5031 Info InstanceLimitLifted {
            /// Request id whose response named no limit any more.
            request_id: RequestId,
            /// Id of the instance.
            instance: InstanceId,
        } = "An instance that had named a limit names none any more.", "Nothing.";
        5032 Warn RequestsEnded {
            /// Id of this process.
            instance: InstanceId,
            /// Requests in flight.
            in_flight: u32,
        } = "The grace period of a stop is nearly over: requests without a response get an error that says whether they may have run, and streams are cut.",
            "Find the instances that did not respond by `RequestTurnedAway` and `AnswerCut`; raise the grace period if they were at work.";
        5033 Info InstanceLeaving {
            /// Request id whose response announced it.
            request_id: RequestId,
            /// Id of the instance.
            instance: InstanceId,
            /// Time for which it is used where no other instance takes a request, in
            /// milliseconds.
            grace_ms: u64,
        } = "An instance announced in a response that it leaves; requests go to other instances.", "Nothing.";
        5034 Info InstancePaused {
            /// Request id whose response announced it.
            request_id: RequestId,
            /// Id of the instance.
            instance: InstanceId,
            /// Time for which it wants no requests, in milliseconds.
            pause_ms: u64,
        } = "An instance turned a request away and wants no more for a time; it gets none.",
            "Investigate the instance if it happens often: it is short of resources.";
        5040 Info PeerLinkStarted {
            /// Address on which frames of other gateways arrive.
            addr: String,
            /// Random number of this run of the gateway.
            run: u64,
        } = "The gateway has the key of the link between gateways and exchanges frames.", "Nothing.";
        5041 Warn PeerLinkWithoutKey {
            /// Error of the store.
            reason: String,
        } = "The key of the link between gateways could not be read; it is retried, and the gateway works without the link.",
            "Check the connection to the platform's store if it persists.";
        5042 Info PeerHeard {
            /// Id of the other gateway.
            peer: InstanceId,
            /// Address from which the frame came.
            addr: String,
            /// Random number of the other gateway's run.
            run: u64,
        } = "The first frame of another gateway has arrived, or the first after a long silence.", "Nothing.";
        5043 Info PeerRemoved {
            /// Id of the other gateway.
            peer: InstanceId,
        } = "Another gateway has been silent for 30 s and has no record in the platform's store.", "Nothing.";
        5050 Info PeerLoadCounted {
        } = "The load of other gateways counts in placement from now on.", "Nothing.";
        5051 Info PeerLoadAbsent {
        } = "No other gateway has reported load lately; this gateway places requests by its own alone.",
            "Nothing if there is little traffic; else check the link between gateways.";
        5055 Info InstanceCapacityChanged {
            /// Name of the upstream.
            upstream: UpstreamName,
            /// Id of the instance.
            instance: InstanceId,
            /// Learned speed in percent of the median of the upstream's instances.
            speed_percent: u32,
            /// Previous value of `speed_percent`.
            speed_percent_before: u32,
            /// Concurrent requests of this gateway beyond which others are preferred; 0
            /// if only the instance's slots limit them.
            concurrency_limit: u32,
            /// Previous value of `concurrency_limit`.
            concurrency_limit_before: u32,
        } = "The capacity that this gateway learned for an instance has changed by more than a fifth.",
            "Investigate the instance if it stays slow although its machine is as fast as the others.";
        5060 Info PrefixCopyRequested {
            /// Request id that the caller sent.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Id of the chosen instance, which copies.
            instance: InstanceId,
            /// Id of the instance that is asked for the copy.
            source: InstanceId,
            /// Tokens that the source has, and the instance not, if the gateway's
            /// assumptions about both are right.
            tokens: u32,
            /// Tokens that the placement expects not to be read because of the copy;
            /// 0 for a precaution at the first home of the prompt.
            expected_tokens: u32,
            /// Predicted time until the copy has arrived, in milliseconds.
            transfer_ms: u64,
        } = "An attempt asks its instance to copy cached prompt parts from another one.", "Nothing.";
        5065 Info DutiesAcquired {
            /// Id of this process.
            instance: InstanceId,
            /// Fencing token of the lease.
            token: u64,
            /// Last window up to which all are known to be reported, 0 if unknown.
            reported_through: u64,
        } = "This gateway performs the duties of one gateway at a time from now on.", "Nothing; many in a minute mean that the store or the machines are disturbed.";
        5066 Info DutiesLost {
            /// Id of this process.
            instance: InstanceId,
            /// Fencing token of the lease that it had.
            token: u64,
            /// Whether it gave the lease up by itself.
            released: bool,
        } = "This gateway does not perform the duties any more.", "Nothing; another gateway takes over.";
        5067 Info UsageFixed {
            /// Window of the counts.
            window: u64,
            /// Number of teams with requests.
            teams: usize,
            /// Sum of the requests of all teams.
            requests: u64,
            /// Time since the end of the window, in milliseconds.
            after_ms: u64,
            /// Whether an earlier holder has fixed them.
            by_other: bool,
        } = "The usage of a window is fixed in the platform's store.", "Nothing.";
        5068 Info UsageReported {
            /// Window of the counts.
            window: u64,
            /// Fencing token of the call.
            token: u64,
            /// Time since the end of the window, in milliseconds.
            after_ms: u64,
        } = "The platform confirmed the usage of a window.", "Nothing.";
        5069 Warn UsageNotReported {
            /// Window of the counts.
            window: u64,
            /// Error of the store or of the platform's API.
            reason: String,
        } = "The usage of a window could not be fixed or sent; it is tried again.", "Check the connection to the platform's API and store if it happens often.";
        5070 Error UsageAbandoned {
            /// Window of the counts.
            window: u64,
        } = "The usage of a window was not reported within a minute and is given up.", "Follow the runbook for missing usage in OPERATIONS.md.";
        5071 Info UsageTimeSettled {
            /// Correction of the time of day at the start, in milliseconds.
            correction_ms: i64,
        } = "The time that usage windows follow is settled; it follows no steps of the clock.", "Set the clock of the machine if the correction is large.";
        5080 Warn ClientsLimited {
            /// Id of this process.
            instance: InstanceId,
            /// Clients that were disconnected to make room.
            disconnected: u64,
            /// Requests and connections for which there was no room.
            refused: u64,
            /// Memory that clients hold, in bytes.
            held_bytes: usize,
            /// Connections of clients.
            connections: usize,
        } = "In the last second the limits on all clients of this process were reached: the costliest clients were disconnected, and requests were refused without being run.",
            "Find the clients that hold memory without progress; see `limpetgw_client_memory_bytes` by component.";
    }
}
