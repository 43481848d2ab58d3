/*
 * Core protocol of catkintally (docs/design.md section 4). docs/model.md maps each step to the page.
 *
 * Parts, one per verifier: KEYS (idempotency keys, view, owner, witness, recovery), COLD (lease,
 * grants and recovery for one cold target, with a discrete clock) and TABLE (operators' edits).
 * A macro that starts with M_ removes one guard; spec/check.sh requires that each of them fails.
 *
 * Suspicion, time-outs, pauses and message loss are free choices: a step that may happen may also
 * never happen. A pause is a process that takes no step.
 */
#define bit(i) (1 << (i))
#define has(mask, i) (((mask) >> (i)) & 1)
#define N 3
#define ALL 7

#ifdef KEYS
#ifndef EPOCHS
#define EPOCHS 3 /* newest epoch that suspicion and joins create */
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#define LAST (EPOCHS + 4) /* room for repairs after the faults have stopped */
#ifndef BY_PEER
#define BY_PEER true
#endif
#define NEVER 31

mtype = { idle, collecting, proven, serving, unproven };

/* The view object and its history: members, owner and witness of each epoch. */
byte store_epoch = 1;
byte members[LAST + 1];
byte owner_of[LAST + 1];
byte witness_of[LAST + 1];

/* One instance: adopted epoch, first epoch of its incarnation, record of the key (request + 1). */
bool alive[N];
byte epoch[N];
byte joined[N];
byte record[N];
byte complete[N];
mtype phase[N];
byte replied[N];

/* Whole record set sent to the witness of an epoch: 0 no, 1 sent, 2 acknowledged. */
byte set_state[LAST + 1];
byte set_record[LAST + 1];

byte runs = 0;   /* executions of the key at targets */
byte deaths = 0;
bool stopped = false;

inline adopt(i, e)
{
    assert(e > epoch[i]); /* an instance's epoch never goes back */
    epoch[i] = e;
    replied[i] = 0;
    phase[i] = idle;
    if
    :: owner_of[e] == i && has(members[e], i) -> phase[i] = collecting; replied[i] = bit(i)
    :: else
    fi
}

/* Rendezvous order is arbitrary to the protocol, so owner and witness are free choices. */
inline choose_roles(e)
{
    if
    :: has(members[e], 0) -> owner_of[e] = 0
    :: has(members[e], 1) -> owner_of[e] = 1
    :: has(members[e], 2) -> owner_of[e] = 2
    fi;
    if
    :: members[e] == bit(owner_of[e]) -> witness_of[e] = owner_of[e]
    :: has(members[e], 0) && owner_of[e] != 0 -> witness_of[e] = 0
    :: has(members[e], 1) && owner_of[e] != 1 -> witness_of[e] = 1
    :: has(members[e], 2) && owner_of[e] != 2 -> witness_of[e] = 2
    fi
}

/* Conditional update of the view: the proposer must have seen the newest epoch. */
inline update_view(i, mask)
{
#ifdef M_UNCONDITIONAL_VIEW
    last = store_epoch;
    store_epoch = epoch[i] + 1;
    assert(store_epoch > last);
#else
    store_epoch = store_epoch + 1;
#endif
    members[store_epoch] = mask;
    choose_roles(store_epoch)
}

#ifdef M_UNCONDITIONAL_VIEW
#define may_propose(i) (alive[i] && epoch[i] > 0 && has(members[epoch[i]], i) && joined[i] <= epoch[i])
#else
#define may_propose(i) (alive[i] && epoch[i] == store_epoch && has(members[store_epoch], i) && joined[i] <= store_epoch)
#endif

#ifdef M_NO_INCARNATION
#define same_incarnation(m, f) true
#else
#define same_incarnation(m, f) (joined[m] <= (f))
#endif
#ifdef M_REPLY_WITHOUT_ADOPTING
#define may_reply(m, e) (epoch[m] <= (e) && epoch[m] > 0)
#else
#define may_reply(m, e) (epoch[m] == (e))
#endif

#define counts(m, f) (has(replied[i], m) && same_incarnation(m, f))

inline merge_reply(m)
{
    replied[i] = replied[i] | bit(m);
    reply_complete[m] = complete[m];
    if
    :: record[i] == 0 -> record[i] = record[m]
    :: else
    fi
}

proctype instance(byte i)
{
    byte f;
    byte last;
    byte reply_complete[N];
end:
    do
    /* Adoption, from the store or from a peer's heartbeat. */
    :: atomic { alive[i] && epoch[i] < store_epoch && joined[i] <= store_epoch ->
                adopt(i, store_epoch) }
    :: atomic { BY_PEER && alive[i] && epoch[i] + 1 < store_epoch && epoch[i] > 0 && joined[i] <= epoch[i] ->
                adopt(i, epoch[i] + 1) }

    /* Suspicion. The answer of the store may be lost: the view is then read back (adoption). */
    :: atomic { may_propose(i) && !stopped && store_epoch < EPOCHS &&
                has(members[store_epoch], (i + 1) % N) ->
                update_view(i, members[epoch[i]] & ~bit((i + 1) % N)) }
    :: atomic { may_propose(i) && !stopped && store_epoch < EPOCHS &&
                has(members[store_epoch], (i + 2) % N) ->
                update_view(i, members[epoch[i]] & ~bit((i + 2) % N)) }
    :: atomic { may_propose(i) && !stopped && store_epoch < EPOCHS &&
                members[store_epoch] == ALL -> update_view(i, bit(i)) }
    /* A change that moves roles without removing a member (leaving members, joins elsewhere). */
    :: atomic { may_propose(i) && !stopped && store_epoch < EPOCHS ->
                update_view(i, members[epoch[i]]) }
#ifdef PROGRESS
    /* After the faults have stopped, only dead members are suspected. */
#ifndef M_NO_SUSPICION
    :: atomic { may_propose(i) && stopped && store_epoch < LAST &&
                (members[store_epoch] & (alive[0] + 2 * alive[1] + 4 * alive[2])) !=
                    members[store_epoch] ->
                update_view(i, members[store_epoch] & (alive[0] + 2 * alive[1] + 4 * alive[2])) }
#endif
#endif
    /* Join, as a new incarnation that knows nothing of earlier epochs. */
    :: atomic { alive[i] && (joined[i] == NEVER || !has(members[store_epoch], i)) &&
                (store_epoch < EPOCHS || (stopped && store_epoch < LAST)) ->
                joined[i] = store_epoch + 1;
                record[i] = 0; complete[i] = 0; phase[i] = idle; replied[i] = 0; epoch[i] = 0;
                members[store_epoch + 1] = members[store_epoch] | bit(i);
                store_epoch = store_epoch + 1;
                choose_roles(store_epoch) }

    /* Recovery: replies of members of the old and the new view. */
    :: atomic { alive[i] && phase[i] == collecting && !has(replied[i], 0) && alive[0] &&
                has(members[epoch[i]] | members[epoch[i] - 1], 0) && may_reply(0, epoch[i]) ->
                merge_reply(0) }
    :: atomic { alive[i] && phase[i] == collecting && !has(replied[i], 1) && alive[1] &&
                has(members[epoch[i]] | members[epoch[i] - 1], 1) && may_reply(1, epoch[i]) ->
                merge_reply(1) }
    :: atomic { alive[i] && phase[i] == collecting && !has(replied[i], 2) && alive[2] &&
                has(members[epoch[i]] | members[epoch[i] - 1], 2) && may_reply(2, epoch[i]) ->
                merge_reply(2) }

    /* Proven rule; members that have not replied count as silent. */
    :: atomic { alive[i] && phase[i] == collecting ->
                reply_complete[i] = complete[i];
                f = epoch[i] - 1;
                do
                :: f == 0 -> phase[i] = proven; break
                :: f > 0 ->
                    if
                    :: (counts(owner_of[f], f) && reply_complete[owner_of[f]] >= f) ||
                       (counts(witness_of[f], f) && reply_complete[witness_of[f]] >= f) ->
                        phase[i] = proven; break
                    :: else ->
                        if
                        :: counts(owner_of[f], f) || counts(witness_of[f], f) -> f = f - 1
                        :: else ->
#ifdef M_SILENT_IS_PROVEN
                            phase[i] = proven; break
#else
                            phase[i] = unproven; break
#endif
                        fi
                    fi
                od;
                f = 0; replied[i] = 0;
                reply_complete[0] = 0; reply_complete[1] = 0; reply_complete[2] = 0 }

    /* Step 5: the whole set goes to the new witness; its acknowledgement completes the epoch. */
    :: atomic { alive[i] && phase[i] == proven && set_state[epoch[i]] == 0 ->
                set_record[epoch[i]] = record[i];
                if
                :: witness_of[epoch[i]] == i -> set_state[epoch[i]] = 2
                :: else -> set_state[epoch[i]] = 1
                fi }
    :: atomic { alive[i] && epoch[i] > 0 && witness_of[epoch[i]] == i && set_state[epoch[i]] == 1 &&
                joined[i] <= epoch[i] ->
                if
                :: set_record[epoch[i]] != 0 -> record[i] = set_record[epoch[i]]
                :: else
                fi;
                complete[i] = epoch[i];
                set_state[epoch[i]] = 2 }
    :: atomic { alive[i] && phase[i] == proven && set_state[epoch[i]] == 2 ->
                complete[i] = epoch[i];
                phase[i] = serving }
#ifdef M_UNPROVEN_COMPLETES
    :: atomic { alive[i] && phase[i] == unproven && complete[i] < epoch[i] ->
                complete[i] = epoch[i] }
#endif
#ifdef M_EVICT_RECORD
    :: atomic { alive[i] && phase[i] == serving && record[i] != 0 -> record[i] = 0 }
#endif
    od
}

#ifdef M_NO_KEY_CHECK
#define key_is_new(o) true
#else
#define key_is_new(o) (record[o] == 0)
#endif

#define owner_ready(o) (alive[o] && phase[o] == serving)

inline accept(x)
{
    o = x; e = epoch[x]; record[x] = a + 1
}

/*
 * One sending of the same key through instance d. The caller may send again at any time. A step
 * that is never taken stands for a time-out, a lost message or a refusal with a weaker claim
 * (attempt-not-run, in-progress, already-run, unknown), which are always true.
 */
proctype attempt(byte a; byte d)
{
    byte o;
    byte e;
    bool ran;

    if
    :: atomic { alive[d] && owner_ready(0) && key_is_new(0) -> accept(0) }
    :: atomic { alive[d] && owner_ready(1) && key_is_new(1) -> accept(1) }
    :: atomic { alive[d] && owner_ready(2) && key_is_new(2) -> accept(2) }
    /* The owner refuses a new key (queue full, no target) with the claim not-run. */
    :: atomic { alive[d] && owner_ready(0) && record[0] == 0 -> o = 0; e = epoch[0]; goto refuse }
    :: atomic { alive[d] && owner_ready(1) && record[1] == 0 -> o = 1; e = epoch[1]; goto refuse }
    :: atomic { alive[d] && owner_ready(2) && record[2] == 0 -> o = 2; e = epoch[2]; goto refuse }
#ifdef M_REFUSE_NOT_RUN_WITHOUT_OWNER
    :: atomic { alive[d] -> assert(runs == 0); goto finished }
#endif
    fi;

    /* The witness of the same epoch holds the record before the grant leaves the owner. */
#ifndef M_GRANT_BEFORE_WITNESS
    if
    :: atomic { witness_of[e] == o }
#ifdef M_WITNESS_ACCEPTS_OLD_EPOCH
    :: atomic { witness_of[e] != o && alive[witness_of[e]] && joined[witness_of[e]] <= e ->
#else
    :: atomic { witness_of[e] != o && alive[witness_of[e]] && epoch[witness_of[e]] == e &&
                joined[witness_of[e]] <= e ->
#endif
                record[witness_of[e]] = a + 1 }
    fi;
#endif
    /* The owner sees the acknowledgement and issues the grant. */
    atomic { alive[o] && epoch[o] == e -> o = 0; e = 0 };

    /* Check and send at the dispatcher; it may be paused anywhere in between. */
    if
    :: atomic { alive[d] -> runs = runs + 1; assert(runs <= 1) }
    /* Validity lapsed or the target refused: reported as not run. */
    :: atomic { alive[d] -> goto not_run }
    fi;
#ifdef M_RESEND_UNKNOWN
    /* Connection lost after the send: sent again although the outcome is unknown. */
    atomic { alive[d] -> runs = runs + 1; assert(runs <= 1) };
#endif
    goto finished;

not_run:
    /* The report removes this request's record, wherever and whenever it arrives. */
    do
#ifdef M_REMOVE_WITHOUT_REQUEST_ID
    :: atomic { record[0] != 0 -> record[0] = 0 }
    :: atomic { record[1] != 0 -> record[1] = 0 }
    :: atomic { record[2] != 0 -> record[2] = 0 }
#else
    :: atomic { record[0] == a + 1 -> record[0] = 0 }
    :: atomic { record[1] == a + 1 -> record[1] = 0 }
    :: atomic { record[2] == a + 1 -> record[2] = 0 }
#endif
    od;

refuse:
    /* The witness confirms that the epoch had not ended, then the owner looks again. */
#ifdef M_REFUSE_WITHOUT_WITNESS
    atomic { ran = (runs > 0) };
#else
    if
    :: atomic { witness_of[e] == o -> ran = (runs > 0) }
    :: atomic { witness_of[e] != o && alive[witness_of[e]] && epoch[witness_of[e]] == e &&
                joined[witness_of[e]] <= e -> ran = (runs > 0) }
    fi;
#endif
    /* The claim: nothing with this key had run. */
    atomic { alive[o] && epoch[o] == e && record[o] == 0 -> assert(!ran); o = 0; e = 0 };

finished:
    skip
}

inline die(i)
{
    alive[i] = false; record[i] = 0; complete[i] = 0; phase[i] = idle; replied[i] = 0;
    epoch[i] = 0;
#ifdef M_NO_INCARNATION
    joined[i] = 1
#else
    joined[i] = NEVER
#endif
}

proctype faults()
{
end:
    do
    :: atomic { !stopped && deaths < DEATHS && alive[0] -> deaths++; die(0) }
    :: atomic { !stopped && deaths < DEATHS && alive[1] -> deaths++; die(1) }
    :: atomic { !stopped && deaths < DEATHS && alive[2] -> deaths++; die(2) }
    /* A replacement starts without state. */
    :: atomic { !stopped && !alive[0] -> alive[0] = true }
    :: atomic { !stopped && !alive[1] -> alive[1] = true }
    :: atomic { !stopped && !alive[2] -> alive[2] = true }
#ifdef PROGRESS
    :: atomic { !stopped -> stopped = true }
#endif
    od
}

#ifdef PROGRESS
#define recovered(o) (alive[o] && epoch[o] == store_epoch && (phase[o] == serving || phase[o] == unproven))
proctype progress_check()
{
    /* Nothing can move any more: the newest epoch must have a recovered owner. */
end:
    atomic { timeout -> assert(recovered(owner_of[store_epoch])) }
}
#endif

init
{
    atomic {
        members[1] = ALL; owner_of[1] = 0; witness_of[1] = 1; set_state[1] = 2;
        epoch[0] = 1; epoch[1] = 1; epoch[2] = 1;
        joined[0] = 1; joined[1] = 1; joined[2] = 1;
        alive[0] = true; alive[1] = true; alive[2] = true;
        complete[0] = 1; complete[1] = 1;
        phase[0] = serving; phase[1] = idle; phase[2] = idle;
        run instance(0); run instance(1); run instance(2);
        run faults();
#if ATTEMPTS >= 1
        run attempt(0, 2);
#endif
#if ATTEMPTS >= 2
        run attempt(1, 1);
#endif
#if ATTEMPTS >= 3
        run attempt(2, 2);
#endif
#ifdef PROGRESS
        run progress_check();
#endif
    }
}
#endif

#ifdef COLD
/*
 * One service with one cold target (limit 1), a clock and three instances. A tick is one lease
 * time. L: lease, V: validity of a grant, D: longest run after the send, WAIT: how long a new owner
 * leaves a cold target alone when a member is silent.
 */
#ifndef EPOCHS
#define EPOCHS 2
#endif
#define L 1
#define V 0
#define D 1
#ifndef MAXT
#define MAXT 4
#endif
#define WAIT (L + V + D)

mtype = { idle, collecting, serving, granted, checked, running, ended };

byte clock = 0;
byte store_epoch = 1;
byte members[EPOCHS + 1];
byte owner_of[EPOCHS + 1];

bool alive[N];
byte epoch[N];
mtype phase[N];
byte replied[N];
byte in_use[N];        /* requests that hold the place, as this owner knows */
byte blocked_until[N]; /* the cold target receives nothing before this tick */
/* Tick + 1 at which a member left an epoch. Until then it echoes that epoch at once: the longest
   lease that section 4.3 allows, so every shorter lease is covered as well. */
byte left[N * (EPOCHS + 1)];

#define R 2
mtype state[R] = idle;
byte dispatcher[R];
byte grant_epoch[R];
byte asked_at[R];
byte sent_at[R];
byte at_target = 0;

#define count(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#ifdef M_LEASE_FROM_RECEIPT
#define LATE 3 /* an echo that arrives late extends the lease by its delay */
#else
#define LATE 0
#endif
#define left_at(m, e) left[(m) * (EPOCHS + 1) + (e)]
#define echoes(m, e) ((alive[m] && epoch[m] == (e)) || (left_at(m, e) > 0 && left_at(m, e) + L + LATE > clock))
#define fresh(o, m) (has(members[epoch[o]], m) && ((m) == (o) || echoes(m, epoch[o])))
#ifdef M_NO_LEASE
#define has_lease(o) true
#else
#define has_lease(o) (2 * (fresh(o, 0) + fresh(o, 1) + fresh(o, 2)) > count(members[epoch[o]]))
#endif
/* At least half of a view has adopted a newer epoch, so its owner can no longer collect a majority. */
#define ended_by(mask, f) (2 * count((mask) & members[f]) >= count(members[f]))

inline adopt(i)
{
    left_at(i, epoch[i]) = clock + 1;
    epoch[i] = epoch[i] + 1;
    phase[i] = idle; replied[i] = 0; in_use[i] = 0; blocked_until[i] = 0;
    if
    :: owner_of[epoch[i]] == i -> phase[i] = collecting
    :: else
    fi
}

inline update_view(mask)
{
    store_epoch = store_epoch + 1;
    members[store_epoch] = mask;
    if
#ifdef HIGHEST_OWNER /* a smaller search: the highest member is the owner of a new view */
    :: has(mask, 2) -> owner_of[store_epoch] = 2
    :: has(mask, 1) && !has(mask, 2) -> owner_of[store_epoch] = 1
    :: mask == 1 -> owner_of[store_epoch] = 0
#else
    :: has(mask, 0) -> owner_of[store_epoch] = 0
    :: has(mask, 1) -> owner_of[store_epoch] = 1
    :: has(mask, 2) -> owner_of[store_epoch] = 2
#endif
    fi
}

#define holds(r, m) (dispatcher[r] == (m) && (state[r] == checked || state[r] == running))
#define may_reply(m) (alive[m] && epoch[m] == epoch[i] && !has(replied[i], m))

inline merge_reply(m)
{
    replied[i] = replied[i] | bit(m);
    if
    :: holds(0, m) -> in_use[i] = in_use[i] | 1
    :: else
    fi;
    if
    :: holds(1, m) -> in_use[i] = in_use[i] | 2
    :: else
    fi
}

#define leads(i) (alive[i] && owner_of[epoch[i]] == i)

proctype instance(byte i)
{
    byte f;
    byte others;
    byte known;
    bool closed;
end:
    do
    :: atomic { alive[i] && epoch[i] < store_epoch -> adopt(i) }
    :: atomic { alive[i] && epoch[i] == store_epoch && has(members[store_epoch], i) &&
                store_epoch < EPOCHS ->
                /* Any set of other members may be suspected; the empty set moves only the role. */
                if
                :: others = 0 :: others = bit((i + 1) % N) :: others = bit((i + 2) % N)
                :: others = ALL & ~bit(i)
                fi;
                others = members[store_epoch] & ~others;
                update_view(others);
                others = 0 }

    /* Recovery: members that adopted the epoch report their work in flight. */
    :: atomic { phase[i] == collecting && alive[i] && may_reply(0) -> merge_reply(0) }
    :: atomic { phase[i] == collecting && alive[i] && may_reply(1) -> merge_reply(1) }
    :: atomic { phase[i] == collecting && alive[i] && may_reply(2) -> merge_reply(2) }
    :: atomic { phase[i] == collecting && alive[i] ->
                /* Every older epoch must be unable to keep a lease. */
                closed = true; known = 0; f = epoch[i] - 1;
#if defined(M_START_WITHOUT_HALF)
                f = 0; known = ALL;
#endif
                do
                :: f == 0 -> break
                :: f > 0 ->
                    known = known | members[f];
                    closed = closed && ended_by(replied[i], f);
#ifdef M_HALF_OF_LAST_VIEW_ONLY
                    f = 0
#else
                    f = f - 1
#endif
                od;
                if
                :: closed ->
                    phase[i] = serving;
#ifndef M_NO_COLD_WAIT
                    if
                    :: (known & ~replied[i]) != 0 -> blocked_until[i] = clock + WAIT + 1
                    :: else
                    fi;
#endif
                    replied[i] = 0
                :: else
                fi;
                f = 0; known = 0; closed = false }

    /* Completions reach the owner at any time. */
    :: atomic { has(in_use[i], 0) && state[0] == ended -> in_use[i] = in_use[i] & ~1 }
    :: atomic { has(in_use[i], 1) && state[1] == ended -> in_use[i] = in_use[i] & ~2 }
    od
}

#ifdef M_IGNORE_LIMIT
#define place_free(o) true
#else
#define place_free(o) (in_use[o] == 0)
#endif
#define may_grant(o) (leads(o) && phase[o] == serving && has_lease(o) && place_free(o) && clock >= blocked_until[o])

inline grant(o)
{
    dispatcher[r] = d; asked_at[r] = clock;
    in_use[o] = in_use[o] | bit(r); grant_epoch[r] = epoch[o]; state[r] = granted
}

#ifdef M_NO_EPOCH_CHECK
#define epoch_holds true
#else
#define epoch_holds (epoch[d] == grant_epoch[r])
#endif
#ifdef M_NO_VALIDITY
#define validity_holds true
#else
#define validity_holds (clock <= asked_at[r] + V)
#endif

proctype request(byte r; byte d)
{
    /* The question and the grant are one step: a later question only allows a later send. */
    if
    :: atomic { alive[d] && may_grant(0) -> grant(0) }
    :: atomic { alive[d] && may_grant(1) -> grant(1) }
    :: atomic { alive[d] && may_grant(2) -> grant(2) }
#ifdef M_COLD_WITHOUT_OWNER
    /* Fixed share on a cold target: slot 0 belongs to the first member of this instance's view. */
    :: atomic { alive[d] && has(members[epoch[d]], d) && (members[epoch[d]] & (bit(d) - 1)) == 0 ->
                dispatcher[r] = d; grant_epoch[r] = epoch[d]; state[r] = granted;
                asked_at[r] = clock }
#endif
    fi;
    atomic { alive[d] && epoch_holds && validity_holds ->
             state[r] = checked; asked_at[r] = 0; grant_epoch[r] = 0 };
    atomic { alive[d] -> at_target++; sent_at[r] = clock; state[r] = running;
             assert(at_target <= 1) };
    atomic { at_target--; sent_at[r] = 0; state[r] = ended }
}

/* Deadlines bound the run. M_LATE_SEND drops the assumption that no pause of a tick or more falls
   between the check and the send. */
#ifdef M_LATE_SEND
#define sends_in_time(r) true
#else
#define sends_in_time(r) (state[r] != checked || !alive[dispatcher[r]])
#endif
#define ends_in_time(r) (state[r] != running || clock < sent_at[r] + D)

/* Stamps that no longer matter are cleared, so that equal situations are equal states. */
inline drop_expired()
{
    slot = 0;
    do
    :: slot < N * (EPOCHS + 1) && left[slot] > 0 && left[slot] + L + LATE <= clock ->
        left[slot] = 0; slot++
    :: slot < N * (EPOCHS + 1) && !(left[slot] > 0 && left[slot] + L + LATE <= clock) -> slot++
    :: slot == N * (EPOCHS + 1) -> break
    od;
    slot = 0;
    do
    :: slot < N && blocked_until[slot] > 0 && blocked_until[slot] <= clock ->
        blocked_until[slot] = 0; slot++
    :: slot < N && !(blocked_until[slot] > 0 && blocked_until[slot] <= clock) -> slot++
    :: slot == N -> break
    od;
    slot = 0
}

proctype time()
{
    byte slot;
end:
    do
    :: atomic { clock < MAXT && sends_in_time(0) && sends_in_time(1) && ends_in_time(0) &&
                ends_in_time(1) -> clock++; drop_expired() }
    od
}

proctype faults()
{
    if
    :: atomic { left_at(0, epoch[0]) = clock + 1; alive[0] = false; phase[0] = idle }
    :: atomic { left_at(1, epoch[1]) = clock + 1; alive[1] = false; phase[1] = idle }
    :: atomic { left_at(2, epoch[2]) = clock + 1; alive[2] = false; phase[2] = idle }
    fi
}

init
{
    atomic {
        members[1] = ALL; owner_of[1] = 0;
        epoch[0] = 1; epoch[1] = 1; epoch[2] = 1;
        alive[0] = true; alive[1] = true; alive[2] = true;
        phase[0] = serving; phase[1] = idle; phase[2] = idle;
        run instance(0); run instance(1); run instance(2);
        run request(0, FIRST); run request(1, SECOND);
        run time();
#ifdef DEATH
        run faults();
#endif
    }
}
#endif

#ifdef TABLE
/* Two operators edit one row; the store may lose its answer after the change took effect. */
byte version = 1;     /* version of the row in the store */
byte change = 0;      /* change id in the row; 0 is the first content */
byte applied[4];      /* how often each change took effect */
byte revision[2];     /* adopted by each instance */

inline put(id, read)
{
#ifndef M_UNCONDITIONAL_EDIT
    if
    :: version == read ->
#endif
        /* An edit never replaces a row that its author has not seen. */
        assert(version == read);
        version++; change = id; applied[id]++; accepted = true;
#ifndef M_UNCONDITIONAL_EDIT
    :: else -> accepted = false
    fi
#endif
}

proctype operator(byte id)
{
    byte read;
    bool accepted;
again:
    atomic { read = version };
    atomic { put(id, read) };
    if
    :: goto answered
    :: skip /* the answer is lost */
    fi;
#ifdef M_RETRY_WITHOUT_READING
    accepted = false; goto again;
#else
    /* Read back: the change id says whether the update took effect. */
    if
    :: atomic { change == id -> accepted = true }
    :: atomic { change != id && version == read -> accepted = false; goto again }
    :: atomic { change != id && version != read -> goto unknown }
    fi;
#endif
answered:
    atomic { assert(!accepted || applied[id] == 1); assert(accepted || applied[id] == 0) };
unknown:
    atomic { assert(applied[id] <= 1); read = 0; accepted = false }
}

proctype instance(byte i)
{
    byte offered;
    byte last;
end:
    do
    /* A revision arrives from the store or, late, from a peer. */
    :: atomic { offered = version }
    :: atomic { offered = revision[1 - i] }
#ifdef M_ADOPT_OLDER
    :: atomic { offered != 0 ->
#else
    :: atomic { offered > revision[i] ->
#endif
                last = revision[i]; revision[i] = offered; offered = 0;
                assert(revision[i] >= last); last = 0 }
    od
}

init
{
    atomic {
        revision[0] = 1; revision[1] = 1;
        run operator(1); run operator(2); run operator(3);
        run instance(0); run instance(1)
    }
}
#endif
