package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Creates the rules of one balancer and passes to each the rules and the state that it depends on. A rule refers only
 * to what its constructor takes, so the dependencies are acyclic.
 */
final class BalancerRules {
    final BalancerState state = new BalancerState();
    final PerClass<ClassLatency> latencies = new PerClass<>(ClassLatency::new);
    final OnTimeRatio onTimeRatio = new OnTimeRatio();

    // Measurements.
    final LoadReports loadReports;
    final RequestPriority priority = new RequestPriority(state, latencies);
    final ErrorCounter errorCounter = new ErrorCounter(state);

    // Load that a server may receive.
    final SlowStart slowStart = new SlowStart(state);
    final ConcurrencyLimiter limiter;
    final OutlierDetector outlierDetector;
    final TrialRequests trialRequests;
    final ServersInUse serversInUse;

    // Path of a request.
    final PendingRequestFactory requestFactory = new PendingRequestFactory();
    final AdmissionController admissionController;
    final FirstAttemptPicker firstAttemptPicker;
    final RetryPicker retryPicker;
    final HedgingPolicy hedgingPolicy = new HedgingPolicy(state, latencies);

    final EndpointListRefresh endpointListRefresh;

    BalancerRules(BalancerSettings settings, SplittableRandom random, BalancerActions actions) {
        loadReports = new LoadReports(state, settings.reportFields.indexOf(LoadReportField.IN_FLIGHT));
        limiter = new ConcurrencyLimiter(state, latencies, priority, onTimeRatio, slowStart, loadReports);
        outlierDetector = new OutlierDetector(state, random, actions);
        SubsetSelector subsetSelector = new SubsetSelector(state);
        serversInUse = new ServersInUse(state, subsetSelector, limiter, slowStart, random, actions);

        ServerEligibility eligibility = new ServerEligibility(loadReports, limiter, slowStart);
        trialRequests = new TrialRequests(latencies, eligibility, outlierDetector.ejectedServers());
        ServerWeights weights = new ServerWeights(state);
        KeyAffinityPicker keyAffinityPicker = new KeyAffinityPicker(weights, eligibility);
        WeightedServerPicker weightedPicker = new WeightedServerPicker(weights, keyAffinityPicker, eligibility, random);
        firstAttemptPicker = new FirstAttemptPicker(state, trialRequests, weightedPicker);
        retryPicker = new RetryPicker(state, keyAffinityPicker, eligibility);

        admissionController = new AdmissionController(state, onTimeRatio, priority, random);
        endpointListRefresh = new EndpointListRefresh(state, random, actions);
    }

    /** Applies settings that have been validated. */
    void applySettings(BalancerSettings settings) {
        state.settings = settings;
        loadReports.applySettings(settings);
        latencies.extendTo(settings.classes);
        priority.invalidate();
        hedgingPolicy.addClasses(settings.classes);
        requestFactory.addClasses(settings.classes);
    }
}
