# Functions to run the fleet of DEPLOYMENT (tokachi or shikongo) on loopback; sourced by other scripts. Every
# process that is started here is stopped here, by its id.
base=${BASE_PORT:-21000}
out=${OUT:-out/demo}
pids=()
names=()
deployment=${DEPLOYMENT:-tokachi}
case $deployment in
tokachi)
	services=(calendar calendar calendar ledger ledger ledger dispatch dispatch dispatch dispatch sorting sorting sorting)
	centres=(obihiro sapporo asahikawa obihiro sapporo asahikawa obihiro sapporo asahikawa obihiro obihiro sapporo asahikawa)
	entries=(0 1 2)
	once=creditClaim
	;;
shikongo)
	services=(shortlistDesk shortlistDesk shortlistDesk shortlistDesk reservationDesk reservationDesk reservationDesk
		packRoom packRoom packRoom packRoom clearanceDesk clearanceDesk clearanceDesk)
	centres=(khomas-a khomas-b khomas-c khomas-a khomas-a khomas-b khomas-c
		khomas-a khomas-b khomas-c khomas-b khomas-a khomas-b khomas-c)
	entries=(0 1 2 3)
	once=approval
	;;
*)
	echo "no such deployment: $deployment" >&2
	exit 2
	;;
esac
log_address=127.0.0.1:$base
log_url=http://$log_address

callers_port() { echo $((base + 100 + $1)); }
local_port() { echo $((base + 200 + $1)); }
peers_port() { echo $((base + 300 + $1)); }
operator_port() { echo $((base + 400 + $1)); }
server_port() { echo $((base + 500 + $1)); }

# spawn NAME COMMAND...: starts a process in the background and records its id under the name.
spawn() {
	local name=$1
	shift
	"$@" >"$out/$name.out" 2>"$out/$name.err" &
	pids+=($!)
	names+=("$name")
}

pid_of() {
	local i
	for i in "${!names[@]}"; do
		[ "${names[$i]}" = "$1" ] && echo "${pids[$i]}"
	done | tail -n 1
}

# stop_all: terminates the remaining processes and waits for them.
stop_all() {
	local p
	for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null; kill -TERM "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
	return 0
}

start_log() {
	spawn log bin/briarfake log --listen "$log_address"
}

# start_server I: starts backend server number I.
start_server() {
	local i=$1 service=${services[$1]} slots=130 work=4ms
	local calls=()
	case $service in
	calendar) calls=(/route-sheets=dispatch /credit-claims=ledger /collection-runs=ledger /schedules=dispatch /guides=sorting) ;;
	ledger) calls=(/collection-runs=dispatch) ;;
	dispatch) slots=100 calls=(/collection-runs=sorting) ;;
	sorting) slots=20 work=100ms ;;
	shortlistDesk)
		slots=40
		calls=(/approvals=reservationDesk /shortlists=reservationDesk /brand-packs=packRoom /mark-checks=reservationDesk
			/glossary=clearanceDesk)
		;;
	reservationDesk) slots=50 calls=(/mark-checks=clearanceDesk) ;;
	packRoom) slots=40 ;;
	clearanceDesk) slots=15 work=75ms ;;
	esac
	spawn "server$i" bin/briarfake server --listen "127.0.0.1:$(server_port "$i")" --service "$service" \
		--node "http://127.0.0.1:$(local_port "$i")" --slots $slots --work $work "${calls[@]/#/--call=}"
}

# entry_urls: the addresses at which callers reach the fleet, as a JSON list.
entry_urls() {
	local i urls=()
	for i in "${entries[@]}"; do urls+=("\"http://127.0.0.1:$(callers_port "$i")\""); done
	local IFS=,
	echo "[${urls[*]}]"
}

# start_node I [PROGRAM]: starts the node of server number I.
start_node() {
	local i=$1 program=${2:-bin/briarworks}
	cat >"$out/node$i.yaml" <<-EOF
	server: ${services[$i]}-$i
	service: ${services[$i]}
	dataCentre: ${centres[$i]}
	listen:
	  callers: 127.0.0.1:$(callers_port "$i")
	  local: 127.0.0.1:$(local_port "$i")
	  peers: 127.0.0.1:$(peers_port "$i")
	  operator: 127.0.0.1:$(operator_port "$i")
	backend: 127.0.0.1:$(server_port "$i")
	log:
	  address: $log_address
	stopTimeout: 10s
	EOF
	spawn "node$i" "$program" node --settings "$out/node$i.yaml"
}

fail() {
	echo "${0##*/}: $*" >&2
	exit 1
}

# start_fleet [PROGRAM]: starts the log, all servers and their nodes, and waits until the nodes know each
# other. Sets the arguments operators and servers, which name them to briarfake.
start_fleet() {
	local i
	operators=()
	servers=()
	start_log
	for i in "${!services[@]}"; do
		start_server "$i"
		start_node "$i" "$@"
		operators+=(--node "http://127.0.0.1:$(operator_port "$i")")
		servers+=(--server "http://127.0.0.1:$(server_port "$i")")
	done
	bin/briarfake wait "${operators[@]}" --members ${#services[@]} || fail "the fleet did not come up"
}

# publish PROGRAM FILE VERSION AUTHOR: publishes a document and waits until all nodes have it in force.
publish() {
	"$1" config publish "$2" --log "$log_address" --author "$4" --node "127.0.0.1:$(operator_port 0)" ||
		fail "the configuration was not accepted"
	bin/briarfake wait "${operators[@]}" --version "$3" --members ${#services[@]} || fail "version $3 is not in force"
}

# stop_node I: stops the node of server number I gracefully.
stop_node() {
	kill -TERM "$(pid_of "node$1")"
	wait "$(pid_of "node$1")" || fail "node $1 did not stop cleanly"
}

# check_record ARGUMENTS...: stops the entry nodes, which write the rest of the record, and compares it with
# what callers were told and what servers ran. The arguments of briarfake report name the callers.
check_record() {
	local i
	for i in "${entries[@]}"; do stop_node "$i"; done
	bin/briarworks refusals summary --log "$log_address" --output json >"$out/record.json" || fail "the record cannot be read"
	bin/briarfake report "$@" --record "$out/record.json" --once $once "${servers[@]}"
}
